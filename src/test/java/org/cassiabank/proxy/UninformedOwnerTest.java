package org.cassiabank.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.lang.reflect.Proxy;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.cassiabank.admission.ResponseTimes;
import org.cassiabank.backend.BackendClient;
import org.cassiabank.backend.BackendClientSettings;
import org.cassiabank.backend.DefaultHeaderConventions;
import org.cassiabank.backend.ResponseMemory;
import org.cassiabank.backend.ScriptedServer;
import org.cassiabank.declaration.CostHint;
import org.cassiabank.declaration.Selector;
import org.cassiabank.declaration.ServiceDeclaration;
import org.cassiabank.load.FreePorts;
import org.cassiabank.membership.Instance;
import org.cassiabank.membership.InstanceList;
import org.cassiabank.membership.InstanceRole;
import org.cassiabank.membership.InstanceState;
import org.cassiabank.membership.ServerStart;
import org.cassiabank.peer.ControlTrafficRecorder;
import org.cassiabank.peer.PeerClientPool;
import org.cassiabank.peer.PeerServer;
import org.cassiabank.peer.PeerSocketFactories;
import org.cassiabank.peer.generated.Peer;
import org.cassiabank.peer.generated.SlotGrant;
import org.cassiabank.peer.generated.SlotReply;
import org.cassiabank.peer.generated.SlotRequest;
import org.cassiabank.retry.RetryBudget;
import org.cassiabank.revision.Change;
import org.cassiabank.revision.PutEdit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against an entry proxy that uses a server which announced its leaving to it, only because the owner of the
 * slots does not know: the report was lost, the owner has just taken over, or it runs a former release.
 */
@Timeout(30)
class UninformedOwnerTest {
    private static final String LEAVER = "leaver";
    private static final String OTHER = "other";
    private static final Selector ORDERS = Selector.forAllHosts(
            "orders", "desk", Set.of("POST"), "/orders", "*", Map.of(), 1, false, CostHint.LEARNED, 0);

    private static final Selector READS = Selector.forAllHosts(
            "reads", "desk", Set.of("GET"), "/orders", "*", Map.of(), 1, true, CostHint.LEARNED, 0);
    private static final long HEDGE_DELAY_MILLIS = 20;
    private static final long READ_MILLIS = 200;

    private final FleetState fleet = FleetState.create("region");
    private final ProxyMetrics metrics = ProxyMetrics.create();
    private final KnownLeavingServers leavingServers = KnownLeavingServers.create(fleet, metrics);
    private final List<AutoCloseable> resources = new ArrayList<>();
    private final List<SlotRequest> slotRequests = new CopyOnWriteArrayList<>();
    private final AtomicLong lastLeaseId = new AtomicLong();
    private final int ownerPort = FreePorts.nextPort();
    private final AtomicInteger requestsAtLeaver = new AtomicInteger();
    private volatile boolean grantsOtherFirst;
    private ScriptedServer leaver;
    private ScriptedServer other;
    private AttemptExecutor executor;

    @BeforeEach
    void startOwnerAndServers() throws IOException {
        leaver = startServer("Cassiabank-Leaving: true\r\n", LEAVER);
        other = startServer("", OTHER);
        Peer.Iface owner = (Peer.Iface) Proxy.newProxyInstance(
                Peer.Iface.class.getClassLoader(),
                new Class<?>[] {Peer.Iface.class},
                (proxy, method, arguments) -> method.getName().equals("acquire")
                        ? grantLeaverUnlessExcluded((SlotRequest) arguments[0])
                        : null);
        resources.add(PeerServer.start("127.0.0.1", ownerPort, PeerSocketFactories.plain(), owner));
        fleet.apply(
                List.of(new Change(1, "first", List.of(new PutEdit(new ServiceDeclaration("desk", 2, 0, 1_000), 0)))));
        listLeaverAs(1, 1);
        ProxySettings settings = ProxySettingsParser.parse("test", """
                name = "entry"
                region = "region"
                failure-domain = "domain"
                callers-address = "%s"
                peer-address = "%s"
                admin-address = "%s"
                store = "http://127.0.0.1:1"
                """.formatted(
                FreePorts.nextLoopbackAddress(), FreePorts.nextLoopbackAddress(), FreePorts.nextLoopbackAddress()));
        Instance self =
                instance("entry", InstanceRole.PROXY, settings.peerAddress().toString(), 1);
        PeerTransport transport = PeerTransport.create(
                "entry", PeerClientPool.create(PeerSocketFactories.plain(), ControlTrafficRecorder.noOp()));
        FatalRequestExchange fatalRequests = FatalRequestExchange.create(fleet, transport, metrics);
        BackendClient backendClient = BackendClient.create(
                BackendClientSettings.defaults(), DefaultHeaderConventions.instance(), ResponseMemory.ofHeap());
        resources.add(backendClient);
        executor = AttemptExecutor.create(
                self,
                fleet,
                SlotBroker.create(
                        settings,
                        fleet,
                        OwnedShards.create(OwnerSettings.defaults(), fleet, fatalRequests, leavingServers, metrics),
                        fatalRequests,
                        transport,
                        leavingServers,
                        metrics),
                backendClient,
                ServerPathMonitor.create(fleet, backendClient, metrics),
                leavingServers,
                metrics,
                DefaultHeaderConventions.instance());
    }

    @AfterEach
    void closeAll() throws Exception {
        for (AutoCloseable resource : resources.reversed()) {
            resource.close();
        }
    }

    /** Orders went on to a leaving server for as long as the store listed it and the owner granted its slots. */
    @Test
    void theEntryActsOnAnAnnouncementByItself() {
        assertThat(order()).isEqualTo(LEAVER);
        for (int number = 0; number < 5; number++) {
            assertThat(order()).isEqualTo(OTHER);
        }
        listLeaverAs(2, 1);
        assertThat(order()).as("after a list that still shows it as live").isEqualTo(OTHER);
    }

    @Test
    void theOwnerIsToldWithTheNextRequestForASlot() {
        order();
        order();
        assertThat(PeerMessageConverter.toServerStarts(slotRequests.get(1).getLeavingServers()))
                .containsExactly(new ServerStart(LEAVER, 1));
    }

    @Test
    void anotherStartOfTheServerIsUsedAtOnce() {
        order();
        listLeaverAs(2, 2);
        assertThat(order()).isEqualTo(LEAVER);
        assertThat(order()).as("after it has announced its leaving too").isEqualTo(OTHER);
    }

    @Test
    void aHedgeGoesToNoServerThatIsLeaving() {
        order();
        grantsOtherFirst = true;
        assertThat(send(READS)).isEqualTo(OTHER);
        assertThat(slotRequests.getLast().getAttempt())
                .as("the hedge asked for a slot")
                .isEqualTo(2);
        assertThat(requestsAtLeaver).hasValue(1);
    }

    private String order() {
        return send(ORDERS);
    }

    private String send(Selector selector) {
        CallerRequest request = new CallerRequest(
                selector.repeatable() ? "GET" : "POST", selector.path(), Map.of(), new byte[0], "10.0.0.9");
        RequestResult result = RequestRun.createForwarded(
                        new CheckedRequest(request, new CallerIdentity.Unchecked()),
                        CustomerCheck.create(fleet, DefaultHeaderConventions.instance(), metrics),
                        selector,
                        CallerPresence.create(),
                        3_000,
                        0,
                        executor,
                        PlannedStop.create(ResponseTimes.create(), 1_000),
                        RetryBudget.unlimited(),
                        RequestTrace.start("id"))
                .run();
        return new String(((RequestResult.Delivered) result).response().body(), StandardCharsets.UTF_8);
    }

    private SlotReply grantLeaverUnlessExcluded(SlotRequest request) {
        slotRequests.add(request);
        boolean excluded = request.getExcluded().contains(LEAVER) || grantsOtherFirst && request.getAttempt() == 1;
        return SlotReply.grant(new SlotGrant(
                lastLeaseId.incrementAndGet(),
                excluded ? OTHER : LEAVER,
                excluded ? other.address() : leaver.address(),
                10_000,
                grantsOtherFirst ? HEDGE_DELAY_MILLIS : 0));
    }

    private void listLeaverAs(long index, long incarnation) {
        fleet.install(InstanceList.of(
                index,
                List.of(
                        instance("owner", InstanceRole.PROXY, "127.0.0.1:" + ownerPort, 1),
                        instance(LEAVER, InstanceRole.BACKEND, leaver.address(), incarnation),
                        instance(OTHER, InstanceRole.BACKEND, other.address(), 1))));
    }

    private ScriptedServer startServer(String header, String body) throws IOException {
        ScriptedServer server = new ScriptedServer((request, socket) -> {
            if (body.equals(LEAVER)) {
                requestsAtLeaver.incrementAndGet();
            } else if (request.head().startsWith("GET")) {
                TimeUnit.MILLISECONDS.sleep(READ_MILLIS);
            }
            ScriptedServer.write(
                    socket,
                    "HTTP/1.1 200 OK\r\nCassiabank-Request-Id: " + request.header("Cassiabank-Request-Id") + "\r\n"
                            + header + "Content-Length: " + body.length() + "\r\n\r\n" + body);
        });
        resources.add(server);
        return server;
    }

    private static Instance instance(String name, InstanceRole role, String address, long incarnation) {
        return new Instance(
                name, role, address, "region", "domain", InstanceState.LIVE, Map.of("service", "desk"), 2, incarnation);
    }
}
