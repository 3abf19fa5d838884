package org.cassiabank.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
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
import org.cassiabank.peer.generated.StoreChanges;
import org.cassiabank.platform.PlatformTestDocuments;
import org.cassiabank.platform.StoreStandIn;
import org.cassiabank.revision.ExchangePlanner;
import org.cassiabank.source.MetadataStoreFleetSource;
import org.cassiabank.source.PlatformAdapter;
import org.cassiabank.source.PlatformAdapters;
import org.cassiabank.source.PropagationTimes;
import org.cassiabank.source.StoreRelay;
import org.cassiabank.source.StoreRelayReply;
import org.cassiabank.source.StoreRevision;

/** A store with the two watchers of a failure domain and a daemon that follows them over the network. */
final class FollowedStore implements AutoCloseable {
    private static final int FIRST_VERSION = 5;

    final StoreStandIn standIn = StoreStandIn.start();
    final List<FreezableWatcher> watchers = new ArrayList<>();
    final FleetState follower = FleetState.create("region");
    private final List<AutoCloseable> closeables = new ArrayList<>();
    private final PropagationTimes times;
    private PeerTransport followerTransport;
    private int version = FIRST_VERSION;

    private FollowedStore(PropagationTimes times) {
        this.times = times;
    }

    /** Starts the store, the watchers and the follower, and waits until a configuration is in force. */
    static FollowedStore start(long boundMillis) {
        FollowedStore followed = new FollowedStore(PropagationTimes.of(boundMillis));
        followed.standIn.write("op/config", PlatformTestDocuments.configuration(FIRST_VERSION));
        followed.startDaemons();
        return followed;
    }

    /** Writes the next configuration and waits until it is in force everywhere. */
    void changeConfigurationAndAwait() {
        int expected = changeConfiguration();
        await(() -> follower.revision() == expected
                && watchers.stream().allMatch(watcher -> watcher.fleet.revision() == expected));
    }

    /** Writes the next configuration and returns its version. */
    int changeConfiguration() {
        version++;
        standIn.write("op/config", PlatformTestDocuments.configuration(version));
        return version;
    }

    /** Returns how long it takes until the next configuration is in force, in milliseconds. */
    long millisUntilChangeIsInForce(FleetState fleet) {
        long startNanos = System.nanoTime();
        int expected = changeConfiguration();
        await(() -> fleet.revision() == expected);
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }

    /** Waits until the follower uses a watcher and would call the other one too, which it avoids after a lost reply. */
    void awaitWatchersInUse() {
        watchers.forEach(watcher -> watcher.answeredCalls.set(0));
        await(() -> watchers.stream().anyMatch(watcher -> watcher.answeredCalls.get() > 2)
                && watchers.stream().allMatch(watcher -> followerTransport.isReachable(watcher.daemon)));
    }

    /** Returns the watchers, the one first that the follower has called most since it was last awaited. */
    List<FreezableWatcher> watchersByUse() {
        return watchers.stream()
                .sorted(Comparator.comparing((FreezableWatcher watcher) -> -watcher.answeredCalls.get()))
                .toList();
    }

    @Override
    public void close() throws Exception {
        watchers.forEach(watcher -> watcher.frozen = false);
        for (AutoCloseable closeable : closeables) {
            closeable.close();
        }
        standIn.close();
    }

    static void await(BooleanSupplier condition) {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(40);
        while (!condition.getAsBoolean()) {
            assertThat(System.nanoTime()).as("condition not met within 40 s").isLessThan(deadlineNanos);
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(5));
        }
    }

    private void startDaemons() {
        // Which daemons watch follows from their names, so the follower is the one that does not.
        List<Instance> daemons = List.of(daemon("proxy-0"), daemon("proxy-1"), daemon("proxy-2"));
        InstanceList list = InstanceList.of(1, daemons);
        Instance self = daemons.stream()
                .filter(candidate -> !ExchangePlanner.of(candidate, list).isWatcher())
                .findFirst()
                .orElseThrow();
        daemons.stream().filter(daemon -> !daemon.equals(self)).forEach(this::startWatcher);
        follower.install(list);
        followerTransport = PeerTransport.create(
                self.name(), PeerClientPool.create(PeerSocketFactories.plain(), ControlTrafficRecorder.noOp()));
        Replication replication = Replication.create(self, follower, followerTransport);
        MetadataStoreFleetSource source = newSource(self, PeerStoreRelay.create(replication, followerTransport, times));
        closeables.addFirst(source);
        source.start(FleetStateUpdater.create(follower, ProxyMetrics.create()));
        await(() -> follower.revision() == FIRST_VERSION);
    }

    private void startWatcher(Instance daemon) {
        FreezableWatcher watcher = new FreezableWatcher(daemon, newSource(daemon, StoreRelay.none()));
        closeables.add(watcher.source);
        closeables.add(PeerServer.start(
                "127.0.0.1",
                Integer.parseInt(daemon.address().substring(daemon.address().indexOf(':') + 1)),
                PeerSocketFactories.plain(),
                watcher.calls()));
        watcher.source.start(FleetStateUpdater.create(watcher.fleet, ProxyMetrics.create()));
        await(watcher.source::isUpToDate);
        watchers.add(watcher);
    }

    private MetadataStoreFleetSource newSource(Instance self, StoreRelay relay) {
        PlatformAdapter adapter = PlatformAdapters.forName("kv");
        return MetadataStoreFleetSource.create(
                adapter, adapter.openStore(standIn.address()), self, MonotonicClock::millis, relay, times);
    }

    private static Instance daemon(String name) {
        return Instance.of(
                name, InstanceRole.PROXY, "127.0.0.1:" + FreePorts.nextPort(), "region", "domain", InstanceState.LIVE);
    }

    /** A watcher whose process can be frozen: its connections stay open and its calls get no reply meanwhile. */
    static final class FreezableWatcher {
        final FleetState fleet = FleetState.create("region");
        final AtomicInteger answeredCalls = new AtomicInteger();
        volatile boolean frozen;
        private final Instance daemon;
        private final MetadataStoreFleetSource source;

        private FreezableWatcher(Instance daemon, MetadataStoreFleetSource source) {
            this.daemon = daemon;
            this.source = source;
        }

        private Peer.Iface calls() {
            return (Peer.Iface) Proxy.newProxyInstance(
                    Peer.Iface.class.getClassLoader(),
                    new Class<?>[] {Peer.Iface.class},
                    (proxy, method, arguments) ->
                            storeChanges((long) arguments[0], (long) arguments[1], (long) arguments[2]));
        }

        private StoreChanges storeChanges(long afterRevision, long waitMillis, long era) {
            awaitThaw();
            StoreRelayReply reply = source.awaitChanges(new StoreRevision(era, afterRevision), waitMillis);
            awaitThaw();
            answeredCalls.incrementAndGet();
            return PeerMessageConverter.toMessage(reply);
        }

        private void awaitThaw() {
            while (frozen) {
                LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(5));
            }
        }
    }
}
