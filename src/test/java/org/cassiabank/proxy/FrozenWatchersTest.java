package org.cassiabank.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.lang.reflect.Proxy;
import java.util.ArrayList;
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
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a daemon that holds an old configuration beyond the platform's bound because the watchers that it
 * follows are frozen, one or both of them, at any moment of its calls to them.
 */
@Timeout(120)
class FrozenWatchersTest {
    private final StoreStandIn standIn = StoreStandIn.start();
    private final List<FreezableWatcher> watchers = new ArrayList<>();
    private final FleetState fleet = FleetState.create("region");
    private final List<AutoCloseable> closeables = new ArrayList<>();

    @AfterEach
    void close() throws Exception {
        for (AutoCloseable closeable : closeables) {
            closeable.close();
        }
        standIn.close();
    }

    @ParameterizedTest
    @CsvSource({"2000, 1", "2000, 2", "3000, 2"})
    void aChangeIsInForceWithinTheBoundWhileWatchersAreFrozen(long boundMillis, int frozenWatchers) throws Exception {
        PropagationTimes times = PropagationTimes.of(boundMillis);
        standIn.write("op/config", PlatformTestDocuments.configuration(5));
        startFollower(times);
        int version = 5;
        for (long phaseMillis = 0; phaseMillis < boundMillis; phaseMillis += boundMillis / 4) {
            int firstVersion = ++version;
            // The follower's calls begin anew with a change, and the freeze comes at another moment of them each time.
            standIn.write("op/config", PlatformTestDocuments.configuration(firstVersion));
            await(() -> fleet.revision() == firstVersion);
            TimeUnit.MILLISECONDS.sleep(phaseMillis);
            watchers.stream().limit(frozenWatchers).forEach(watcher -> watcher.frozen = true);
            int changedVersion = ++version;
            long startNanos = System.nanoTime();
            standIn.write("op/config", PlatformTestDocuments.configuration(changedVersion));
            await(() -> fleet.revision() == changedVersion);
            assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos))
                    .as("time until version %d is in force, freeze %d ms after a change", changedVersion, phaseMillis)
                    .isLessThan(boundMillis);
            watchers.forEach(watcher -> watcher.frozen = false);
            awaitWatchersInUse();
        }
    }

    /** Waits until the follower calls the watchers again, which it avoids for a while after a call without a reply. */
    private void awaitWatchersInUse() {
        watchers.forEach(watcher -> watcher.answeredCalls.set(0));
        await(() -> watchers.stream().allMatch(watcher -> watcher.answeredCalls.get() > 2));
    }

    private void startFollower(PropagationTimes times) {
        // Which daemons watch follows from their names, so the follower is the one that does not.
        List<Instance> daemons = List.of(daemon("proxy-0"), daemon("proxy-1"), daemon("proxy-2"));
        InstanceList list = InstanceList.of(1, daemons);
        Instance self = daemons.stream()
                .filter(candidate -> !ExchangePlanner.of(candidate, list).isWatcher())
                .findFirst()
                .orElseThrow();
        daemons.stream().filter(daemon -> !daemon.equals(self)).forEach(daemon -> {
            FreezableWatcher watcher = new FreezableWatcher(newSource(daemon, times, StoreRelay.none()));
            closeables.add(watcher.source);
            closeables.add(PeerServer.start(
                    "127.0.0.1",
                    Integer.parseInt(daemon.address().substring(daemon.address().indexOf(':') + 1)),
                    PeerSocketFactories.plain(),
                    watcher.calls()));
            watcher.source.start(FleetStateUpdater.create(FleetState.create("region"), ProxyMetrics.create()));
            await(watcher.source::isUpToDate);
            watchers.add(watcher);
        });
        fleet.install(list);
        PeerTransport transport = PeerTransport.create(
                self.name(), PeerClientPool.create(PeerSocketFactories.plain(), ControlTrafficRecorder.noOp()));
        Replication replication = Replication.create(self, fleet, transport);
        MetadataStoreFleetSource source = newSource(self, times, PeerStoreRelay.create(replication, transport, times));
        closeables.addFirst(source);
        source.start(FleetStateUpdater.create(fleet, ProxyMetrics.create()));
        await(() -> fleet.revision() == 5);
    }

    private MetadataStoreFleetSource newSource(Instance self, PropagationTimes times, StoreRelay relay) {
        PlatformAdapter adapter = PlatformAdapters.forName("kv");
        return MetadataStoreFleetSource.create(
                adapter, adapter.openStore(standIn.address()), self, MonotonicClock::millis, relay, times);
    }

    private static Instance daemon(String name) {
        return Instance.of(
                name, InstanceRole.PROXY, "127.0.0.1:" + FreePorts.nextPort(), "region", "domain", InstanceState.LIVE);
    }

    private static void await(BooleanSupplier condition) {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (!condition.getAsBoolean()) {
            assertThat(System.nanoTime()).as("condition not met within 20 s").isLessThan(deadlineNanos);
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(5));
        }
    }

    /** A watcher whose process can be frozen: its connections stay open and its calls get no reply meanwhile. */
    private static final class FreezableWatcher {
        final MetadataStoreFleetSource source;
        final AtomicInteger answeredCalls = new AtomicInteger();
        volatile boolean frozen;

        FreezableWatcher(MetadataStoreFleetSource source) {
            this.source = source;
        }

        Peer.Iface calls() {
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
