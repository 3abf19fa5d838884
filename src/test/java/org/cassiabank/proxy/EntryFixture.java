package org.cassiabank.proxy;

import java.io.IOException;
import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.thrift.TException;
import org.cassiabank.admission.ResponseTimes;
import org.cassiabank.backend.BackendClient;
import org.cassiabank.backend.BackendClientSettings;
import org.cassiabank.backend.HeaderConventions;
import org.cassiabank.backend.ResponseMemory;
import org.cassiabank.backend.ScriptedServer;
import org.cassiabank.load.FreePorts;
import org.cassiabank.membership.Instance;
import org.cassiabank.membership.InstanceList;
import org.cassiabank.membership.InstanceRole;
import org.cassiabank.membership.InstanceState;
import org.cassiabank.peer.ControlTrafficRecorder;
import org.cassiabank.peer.PeerClientPool;
import org.cassiabank.peer.PeerServer;
import org.cassiabank.peer.PeerSocketFactories;
import org.cassiabank.peer.generated.Peer;
import org.cassiabank.peer.generated.SlotGrant;
import org.cassiabank.peer.generated.SlotRefusal;
import org.cassiabank.peer.generated.SlotReply;
import org.cassiabank.peer.generated.SlotRequest;
import org.cassiabank.source.PlatformAdapters;

/** The request handler of an entry proxy with the platform's headers, and peers and servers on real sockets. */
final class EntryFixture implements AutoCloseable {
    private static final HeaderConventions CONVENTIONS =
            PlatformAdapters.forName("kv").headerConventions();

    final FleetState fleet = FleetState.create("region");
    final ProxyMetrics metrics = ProxyMetrics.create();
    final List<SlotRequest> slotRequests = new CopyOnWriteArrayList<>();
    final RequestHandler handler;

    private final List<AutoCloseable> resources = new ArrayList<>();
    private final List<Instance> instances = new ArrayList<>();
    private final AtomicLong lastLeaseId = new AtomicLong();

    /** Replies to the calls of the entry other than those for slots. */
    interface PeerScript {
        Object reply(String call, Object firstArgument) throws TException;
    }

    EntryFixture() {
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
        OwnedShards ownedShards =
                OwnedShards.create(OwnerSettings.defaults(), fleet, fatalRequests, leavingServers, metrics);
        AttemptExecutor executor = AttemptExecutor.create(
                self,
                fleet,
                SlotBroker.create(settings, fleet, ownedShards, fatalRequests, transport, leavingServers, metrics),
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

    /** Starts a peer that grants slots of the listed servers unless the script has a reply to {@code acquire}. */
    void startPeer(PeerScript script) {
        int port = FreePorts.nextPort();
        Peer.Iface peer = (Peer.Iface) Proxy.newProxyInstance(
                Peer.Iface.class.getClassLoader(), new Class<?>[] {Peer.Iface.class}, (proxy, method, arguments) -> {
                    if (method.getName().equals("acquire")) {
                        slotRequests.add((SlotRequest) arguments[0]);
                    }
                    Object reply = script.reply(method.getName(), arguments[0]);
                    return reply == null && method.getName().equals("acquire")
                            ? grant((SlotRequest) arguments[0])
                            : reply;
                });
        resources.add(PeerServer.start("127.0.0.1", port, PeerSocketFactories.plain(), peer));
        list(instance("peer-" + port, InstanceRole.PROXY, "127.0.0.1:" + port));
    }

    ScriptedServer startServer(ScriptedServer.Script script) throws IOException {
        ScriptedServer server = new ScriptedServer(script);
        resources.add(server);
        list(instance("server-" + instances.size(), InstanceRole.BACKEND, server.address()));
        return server;
    }

    /** Replaces all listed servers by three at whose addresses nobody listens. */
    void listUnreachableServers() {
        removeServers();
        for (int number = 0; number < 3; number++) {
            list(instance("down-" + number, InstanceRole.BACKEND, FreePorts.nextLoopbackAddress()));
        }
    }

    void removeServers() {
        instances.removeIf(instance -> instance.role() == InstanceRole.BACKEND);
    }

    @Override
    public void close() throws Exception {
        for (AutoCloseable resource : resources.reversed()) {
            resource.close();
        }
    }

    private void list(Instance instance) {
        instances.add(instance);
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
}
