package org.cassiabank.proxy;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatCode;

import java.lang.reflect.Proxy;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;
import org.apache.thrift.TApplicationException;
import org.apache.thrift.TException;
import org.cassiabank.declaration.LabelRule;
import org.cassiabank.declaration.ServiceDeclaration;
import org.cassiabank.health.RequestDigest;
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
import org.cassiabank.peer.generated.Suspect;
import org.cassiabank.revision.Change;
import org.cassiabank.revision.PutEdit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against an owner that takes over a shard, or restarts, and lets a request that ended servers pass again.
 */
class FatalRequestExchangeTest {
    private static final long TIMEOUT_MILLIS = 5_000;
    private static final ShardKey SHARD = new ShardKey("menu", 0);
    private static final RequestDigest REQUEST =
            RequestDigest.of("caller", "", "GET", "/menu", "".getBytes(StandardCharsets.UTF_8));

    private final List<Instance> proxies = new ArrayList<>();
    private final List<PeerServer> peerServers = new ArrayList<>();

    @AfterEach
    void closeServers() {
        peerServers.forEach(PeerServer::close);
    }

    @Test
    void theOtherCandidatesRefuseARequestAfterItEndedThreeServers() {
        List<FatalRequestExchange> exchanges = startExchanges(3);
        endServers(exchanges.getFirst(), 3);
        for (FatalRequestExchange exchange : exchanges) {
            await(() -> exchange.refusalMillis(REQUEST, false, 1_000).orElse(0) > TimeUnit.SECONDS.toMillis(50));
        }
    }

    @Test
    void aCandidateThatCouldNotBeReachedIsToldLater() {
        List<FatalRequestExchange> exchanges = startExchanges(2);
        PeerServer unreachable = peerServers.removeLast();
        unreachable.close();
        endServers(exchanges.getFirst(), 3);
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(200));
        peerServers.add(startPeerServer(proxies.get(1), exchanges.get(1)));
        await(() -> exchanges.get(1).refusalMillis(REQUEST, false, 1_000).isPresent());
    }

    @Test
    void aDaemonThatBeginsToOwnAShardAsksTheOtherCandidates() {
        List<FatalRequestExchange> exchanges = startExchanges(2);
        endServers(exchanges.getFirst(), 3);
        FatalRequestExchange restarted = newExchange(proxies.get(1));
        restarted.fetchSuspects(SHARD);
        await(() -> restarted.refusalMillis(REQUEST, false, 1_000).isPresent());
    }

    @Test
    void aPeerOfAReleaseWithoutTheCallsStaysReachable() {
        List<FatalRequestExchange> exchanges = startExchanges(1);
        Instance older = instance("proxy-older", InstanceRole.PROXY, FreePorts.nextLoopbackAddress());
        HostAndPort address = HostAndPort.parse(older.address());
        Peer.Iface peer = peerOf((method, arguments) -> {
            throw new TApplicationException(TApplicationException.UNKNOWN_METHOD, "Invalid method name");
        });
        peerServers.add(PeerServer.start(address.host(), address.port(), PeerSocketFactories.plain(), peer));
        assertThatCode(() -> exchanges.getFirst().send(older, List.of())).doesNotThrowAnyException();
    }

    @Test
    void anEntryThatSchedulesByItselfKnowsTheVerdictOfAnOwnerThatNobodyReachesAnyMore() {
        List<FatalRequestExchange> exchanges = startExchanges(8);
        endServers(exchanges.get(candidates().getFirst()), 3);
        for (int other : others()) {
            await(() ->
                    exchanges.get(other).refusalMillis(REQUEST, false, 1_000).isPresent());
        }
    }

    @Test
    void entriesThatScheduleByThemselvesAddUpTheServersThatEndedUnderARequest() {
        List<FatalRequestExchange> exchanges = startExchanges(8);
        candidates().forEach(number -> peerServers.get(number).close());
        for (int server = 0; server < 3; server++) {
            exchanges.get(others().get(server)).recordCrash(REQUEST, SHARD, "menu-" + server, 0);
        }
        for (int other : others()) {
            await(() ->
                    exchanges.get(other).refusalMillis(REQUEST, false, 1_000).orElse(0)
                            > TimeUnit.SECONDS.toMillis(50));
        }
    }

    /** Returns the numbers of the daemons that may own the shard. */
    private List<Integer> candidates() {
        return newFleet().view().ownerCandidates(SHARD).stream()
                .map(proxies::indexOf)
                .toList();
    }

    private List<Integer> others() {
        return IntStream.range(0, proxies.size())
                .boxed()
                .filter(number -> !candidates().contains(number))
                .toList();
    }

    private static void endServers(FatalRequestExchange exchange, int count) {
        for (int server = 0; server < count; server++) {
            exchange.recordCrash(REQUEST, SHARD, "menu-" + server, 0);
        }
    }

    private List<FatalRequestExchange> startExchanges(int count) {
        for (int number = 0; number < count; number++) {
            proxies.add(instance("proxy-" + number, InstanceRole.PROXY, FreePorts.nextLoopbackAddress()));
        }
        List<FatalRequestExchange> exchanges = new ArrayList<>();
        for (Instance proxy : proxies) {
            FatalRequestExchange exchange = newExchange(proxy);
            exchanges.add(exchange);
            peerServers.add(startPeerServer(proxy, exchange));
        }
        return exchanges;
    }

    private FatalRequestExchange newExchange(Instance self) {
        PeerTransport peerTransport = PeerTransport.create(
                self.name(), PeerClientPool.create(PeerSocketFactories.plain(), ControlTrafficRecorder.noOp()));
        return FatalRequestExchange.create(newFleet(), peerTransport, ProxyMetrics.create());
    }

    private FleetState newFleet() {
        FleetState fleet = FleetState.create("region");
        fleet.apply(List.of(new Change(
                1,
                "first",
                List.of(
                        new PutEdit(new LabelRule("menu", "menu-*", Map.of("service", "menu")), 0),
                        new PutEdit(new ServiceDeclaration("menu", 2, 1, 1_000), 0)))));
        List<Instance> instances = new ArrayList<>(proxies);
        instances.add(instance("menu-0", InstanceRole.BACKEND, "127.0.0.1:1"));
        fleet.install(InstanceList.of(1, instances));
        return fleet;
    }

    /** Serves the two calls of the exchange; the others are not made. */
    @SuppressWarnings("unchecked")
    private static PeerServer startPeerServer(Instance self, FatalRequestExchange exchange) {
        Peer.Iface peer = peerOf((method, arguments) -> {
            switch (method) {
                case "recordSuspects" -> {
                    exchange.merge(PeerMessageConverter.toSuspectedRequests((List<Suspect>) arguments[0]));
                    return null;
                }
                case "suspects" -> {
                    return exchange.suspects((String) arguments[0]).stream()
                            .map(PeerMessageConverter::toMessage)
                            .toList();
                }
                default -> throw new IllegalStateException("unexpected call " + method);
            }
        });
        HostAndPort address = HostAndPort.parse(self.address());
        return PeerServer.start(address.host(), address.port(), PeerSocketFactories.plain(), peer);
    }

    private static Peer.Iface peerOf(PeerCalls calls) {
        return (Peer.Iface) Proxy.newProxyInstance(
                Peer.Iface.class.getClassLoader(),
                new Class<?>[] {Peer.Iface.class},
                (proxy, method, arguments) -> calls.answer(method.getName(), arguments));
    }

    private static Instance instance(String name, InstanceRole role, String address) {
        return Instance.of(name, role, address, "region", "domain", InstanceState.LIVE);
    }

    private static void await(BooleanSupplier condition) {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
        while (!condition.getAsBoolean()) {
            assertThat(System.nanoTime()).isLessThan(deadlineNanos);
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(10));
        }
    }

    /** Answers the calls of peers by name. */
    private interface PeerCalls {
        Object answer(String method, Object[] arguments) throws TException;
    }
}
