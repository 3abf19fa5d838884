package org.cassiabank.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.lang.reflect.Proxy;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.thrift.TException;
import org.cassiabank.admission.ResponseTimes;
import org.cassiabank.backend.BackendClient;
import org.cassiabank.backend.BackendClientSettings;
import org.cassiabank.backend.HeaderConventions;
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
import org.cassiabank.peer.ControlTrafficRecorder;
import org.cassiabank.peer.PeerClientPool;
import org.cassiabank.peer.PeerServer;
import org.cassiabank.peer.PeerSocketFactories;
import org.cassiabank.peer.generated.ForwardedReply;
import org.cassiabank.peer.generated.Peer;
import org.cassiabank.peer.generated.RecordedAnswer;
import org.cassiabank.peer.generated.SlotGrant;
import org.cassiabank.peer.generated.SlotRefusal;
import org.cassiabank.peer.generated.SlotReply;
import org.cassiabank.peer.generated.SlotRequest;
import org.cassiabank.revision.Change;
import org.cassiabank.revision.PutEdit;
import org.cassiabank.source.PlatformAdapters;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against false promises in the replies to requests that a daemon without a path to the servers passes on: its
 * peers may run a release that knows nothing of them.
 */
@Timeout(30)
class PassedOnResponseTest {
    private static final HeaderConventions CONVENTIONS =
            PlatformAdapters.forName("kv").headerConventions();
    private static final int SERVERS = 3;

    private final FleetState fleet = FleetState.create("region");
    private final ProxyMetrics metrics = ProxyMetrics.create();
    private final List<AutoCloseable> resources = new ArrayList<>();
    private final List<Instance> instances = new ArrayList<>();
    private final AtomicLong lastLeaseId = new AtomicLong();
    private RequestHandler handler;

    @BeforeEach
    void createHandler() {
        for (int number = 0; number < SERVERS; number++) {
            instances.add(instance("server-" + number, InstanceRole.BACKEND, FreePorts.nextLoopbackAddress()));
        }
        fleet.apply(List.of(new Change(
                1,
                "first",
                List.of(
                        new PutEdit(new ServiceDeclaration("desk", 2, 0, 1_000), 0),
                        new PutEdit(selector("orders", "POST", false), 0),
                        new PutEdit(selector("reads", "GET", true), 0)))));
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
                instance("entry", InstanceRole.PROXY, settings.peerAddress().toString());
        PeerTransport transport = PeerTransport.create(
                "entry", PeerClientPool.create(PeerSocketFactories.plain(), ControlTrafficRecorder.noOp()));
        KnownLeavingServers leavingServers = KnownLeavingServers.create(fleet, metrics);
        FatalRequestExchange fatalRequests = FatalRequestExchange.create(fleet, transport, metrics);
        BackendClient backendClient =
                BackendClient.create(BackendClientSettings.defaults(), CONVENTIONS, ResponseMemory.ofHeap());
        resources.add(backendClient);
        AttemptExecutor executor = AttemptExecutor.create(
                self,
                fleet,
                SlotBroker.create(
                        settings,
                        fleet,
                        OwnedShards.create(OwnerSettings.defaults(), fleet, fatalRequests, leavingServers, metrics),
                        fatalRequests,
                        transport,
                        leavingServers),
                backendClient,
                ServerPathMonitor.create(fleet, backendClient, metrics),
                leavingServers,
                metrics,
                CONVENTIONS);
        var lists = ClaimTimes.newProxyListHistory();
        ClaimKeeper keeper = ClaimKeeper.create(self, fleet, transport, lists, false);
        handler = RequestHandler.create(
                fleet,
                executor,
                PlannedStop.create(ResponseTimes.create(), 1_000),
                RequestForwarder.create(self, fleet, transport, leavingServers, metrics),
                ClaimClient.create(transport, keeper, lists),
                metrics,
                CONVENTIONS,
                true);
    }

    @AfterEach
    void closeAll() throws Exception {
        for (AutoCloseable resource : resources.reversed()) {
            resource.close();
        }
    }

    @Test
    void aPeersResponseWithAStatusThatPromisesTooMuchIsNotPassedOnToTheCallerOfAnOrder() {
        startPeer(() -> ForwardedReply.answer(
                new RecordedAnswer(503, Map.of("Response-Seal", List.of("s")), ByteBuffer.wrap(new byte[] {1}))));
        CallerReply reply = send("POST");
        assertThat(reply.status()).isEqualTo(502);
        assertThat(reply.firstHeader(CallerReply.OUTCOME_HEADER)).isEqualTo("unknown");
        assertThat(reply.headers()).doesNotContainKey("Response-Seal");
        assertThat(send("GET").status()).as("a request that may run again").isEqualTo(503);
    }

    /** The caller got a reply with the status 0 as the response of a server. */
    @Test
    void aPeersResponseWithAnInvalidStatusReachesNoCaller() {
        startPeer(() -> ForwardedReply.answer(
                new RecordedAnswer(0, Map.of("Response-Seal", List.of("s")), ByteBuffer.wrap(new byte[] {1}))));
        for (String method : List.of("POST", "GET")) {
            CallerReply reply = send(method);
            assertThat(reply.status()).isEqualTo(502);
            assertThat(reply.firstHeader(CallerReply.OUTCOME_HEADER)).isEqualTo("unknown");
            assertThat(reply.headers()).doesNotContainKey("Response-Seal");
        }
    }

    @Test
    void aPeersRefusalIsPassedOnIfNothingElseMayHaveRunTheRequest() {
        startPeer(() -> ForwardedReply.notRun(new SlotRefusal("no-healthy-server", 300)));
        assertThat(send("POST").firstHeader(CallerReply.OUTCOME_HEADER)).isEqualTo("not-run");
        assertThat(send("GET").firstHeader(CallerReply.OUTCOME_HEADER)).isEqualTo("not-run");
    }

    /** The refusal of one peer counted for all, so that a request which may have run was reported as not run. */
    @Test
    void aPeersRefusalIsNoProofBesideAPeerThatDidNotReply() {
        AtomicInteger asked = new AtomicInteger();
        PeerReply breaksFirst = () -> {
            if (asked.incrementAndGet() == 1) {
                throw new IllegalStateException("the peer fails after it has begun");
            }
            return ForwardedReply.notRun(new SlotRefusal("no-healthy-server", 300));
        };
        startPeer(breaksFirst);
        startPeer(breaksFirst);
        CallerReply reply = send("GET");
        assertThat(asked).hasValue(2);
        assertThat(reply.firstHeader(CallerReply.OUTCOME_HEADER)).isEqualTo("unknown");
        assertThat(reply.status()).isEqualTo(504);
    }

    /** Callers saw a change of the configuration taken back, as often as a peer was asked that did not have it yet. */
    @Test
    void aRequestThatAPeerPassesOnIsCarriedOutByTheConfigurationOfThePeerOnly() throws IOException {
        ScriptedServer server = new ScriptedServer((request, socket) -> ScriptedServer.write(
                socket,
                "HTTP/1.1 200 OK\r\nRequest-Id: " + request.header("Request-Id")
                        + "\r\nResponse-Seal: s\r\nContent-Length: 2\r\n\r\nok"));
        resources.add(server);
        instances.removeIf(instance -> instance.role() == InstanceRole.BACKEND);
        instances.add(instance("server", InstanceRole.BACKEND, server.address()));
        startPeer(() -> ForwardedReply.declined("cut-off"));
        for (long otherRevision : new long[] {2, 0}) {
            assertThat(runForwarded(OptionalLong.of(otherRevision))).isEmpty();
        }
        assertThat(server.acceptedConnections).hasValue(0);
        assertThat(runForwarded(OptionalLong.of(1))).get().isInstanceOf(RequestResult.Delivered.class);
        assertThat(runForwarded(OptionalLong.empty()))
                .as("for a peer of a former release")
                .get()
                .isInstanceOf(RequestResult.Delivered.class);
    }

    private Optional<RequestResult> runForwarded(OptionalLong configurationRevision) {
        return handler.runForwarded(request("POST"), 3_000, 0, configurationRevision, CallerPresence.create());
    }

    private CallerReply send(String method) {
        return handler.handle(request(method), CallerPresence.create());
    }

    private static CallerRequest request(String method) {
        return new CallerRequest(
                method,
                "/desk/a",
                Map.of("request-id", List.of("id"), "deadline-ms", List.of("3000")),
                new byte[0],
                "10.0.0.9");
    }

    /** Starts a peer that grants slots of servers which nobody reaches, and replies to requests that are passed on. */
    private void startPeer(PeerReply peerReply) {
        int port = FreePorts.nextPort();
        Peer.Iface peer = (Peer.Iface) Proxy.newProxyInstance(
                Peer.Iface.class.getClassLoader(),
                new Class<?>[] {Peer.Iface.class},
                (proxy, method, arguments) -> switch (method.getName()) {
                    case "acquire" -> grant((SlotRequest) arguments[0]);
                    case "forward" -> peerReply.reply();
                    default -> null;
                });
        resources.add(PeerServer.start("127.0.0.1", port, PeerSocketFactories.plain(), peer));
        instances.add(instance("peer-" + port, InstanceRole.PROXY, "127.0.0.1:" + port));
        fleet.install(InstanceList.of(fleet.view().instances().index() + 1, instances));
    }

    private SlotReply grant(SlotRequest request) {
        return instances.stream()
                .filter(instance -> instance.role() == InstanceRole.BACKEND
                        && !request.getExcluded().contains(instance.name()))
                .findFirst()
                .map(server -> SlotReply.grant(
                        new SlotGrant(lastLeaseId.incrementAndGet(), server.name(), server.address(), 10_000, 0)))
                .orElseGet(() -> SlotReply.refusal(new SlotRefusal("ALL_EXCLUDED", 100)));
    }

    private static Selector selector(String name, String method, boolean repeatable) {
        return Selector.forAllHosts(
                name, "desk", Set.of(method), "/desk", "*", Map.of(), 1, repeatable, CostHint.LEARNED, 0);
    }

    private static Instance instance(String name, InstanceRole role, String address) {
        return new Instance(
                name,
                role,
                address,
                "region",
                "domain",
                InstanceState.LIVE,
                role == InstanceRole.BACKEND ? Map.of("service", "desk") : Map.of(),
                2,
                1);
    }

    private interface PeerReply {
        ForwardedReply reply() throws TException;
    }
}
