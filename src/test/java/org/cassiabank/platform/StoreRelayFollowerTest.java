package org.cassiabank.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.cassiabank.fleet.TcpFaultRelay;
import org.cassiabank.membership.Instance;
import org.cassiabank.membership.InstanceRole;
import org.cassiabank.membership.InstanceState;
import org.cassiabank.source.MetadataStoreFleetSource;
import org.cassiabank.source.PropagationTimes;
import org.cassiabank.source.StoreRelay;
import org.cassiabank.source.StoreRelayReply;
import org.cassiabank.source.StoreRevision;
import org.cassiabank.source.StoreWatchResult;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against daemons that call the store as often as if each of them watched it, and against daemons that stay at
 * an old state because the watchers that they follow are gone, cut off from the store or behind.
 */
@Timeout(60)
class StoreRelayFollowerTest {
    private final StoreStandIn standIn = StoreStandIn.start();
    private final TcpFaultRelay watcherPath = startPath();
    private final TcpFaultRelay followerPath = startPath();
    private final RecordingFleetListener watcherListener = new RecordingFleetListener();
    private final RecordingFleetListener followerListener = new RecordingFleetListener();
    private final MetadataStoreFleetSource watcher = newSource("watcher", watcherPath, StoreRelay.none());
    private final MutableRelay relay = new MutableRelay();
    private final MetadataStoreFleetSource follower = newSource("follower", followerPath, relay);

    @AfterEach
    void close() throws IOException {
        follower.close();
        watcher.close();
        watcherPath.close();
        followerPath.close();
        standIn.close();
    }

    @Test
    void aFollowerGetsChangesWithoutWatchingTheStore() {
        startBoth();
        int watchesBefore = followerListener.storeCalls("watch");
        for (int version = 6; version < 10; version++) {
            int expected = version;
            standIn.write("op/config", PlatformTestDocuments.configuration(version));
            await(() -> followerListener.configurationRevision() == expected);
        }
        standIn.remove("servers/i-1");
        await(() -> !followerListener.has("i-1"));
        assertThat(followerListener.storeCalls("watch")).isEqualTo(watchesBefore);
        assertThat(follower.isUpToDate()).isTrue();
    }

    @Test
    void aFollowerWatchesTheStoreItselfWhileNoWatcherAnswers() {
        startBoth();
        relay.answering = false;
        long startNanos = System.nanoTime();
        standIn.write("op/config", PlatformTestDocuments.configuration(7));
        await(() -> followerListener.configurationRevision() == 7);
        // Changes have to be in force within 2 s.
        assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos))
                .isLessThan(2_000);
    }

    @Test
    void aWatcherThatIsCutOffFromTheStoreDoesNotHoldItsFollowersBack() throws Exception {
        startBoth();
        // A partition: the watcher cannot know yet that it hears nothing.
        watcherPath.setDropToTarget(true);
        watcherPath.setDropFromTarget(true);
        long startNanos = System.nanoTime();
        standIn.write("op/config", PlatformTestDocuments.configuration(8));
        await(() -> followerListener.configurationRevision() == 8);
        // 2 s in which changes have to be in force, and the time of one connection to the store.
        assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos))
                .isLessThan(2_500);
    }

    @Test
    void aWatcherThatIsBehindTakesAFollowerToNoOlderState() {
        startBoth();
        standIn.write("op/config", PlatformTestDocuments.configuration(9));
        await(() -> followerListener.configurationRevision() == 9);
        int revisionBefore = relay.lastAfterRevision.get();
        relay.fixedReply = new StoreRelayReply.Current(
                new StoreWatchResult(List.of(), new StoreRevision(1, 1)), 0, OptionalLong.of(0));
        await(() -> relay.callsWithFixedReply.get() > 2);
        assertThat(relay.lastAfterRevision.get()).isGreaterThanOrEqualTo(revisionBefore);
        assertThat(followerListener.configurationRevision()).isEqualTo(9);
    }

    @Test
    void aDaemonThatCannotReachTheStoreStaysCurrentThroughItsWatchers() throws IOException {
        startBoth();
        followerPath.close();
        for (int version = 10; version < 14; version++) {
            int expected = version;
            standIn.write("op/config", PlatformTestDocuments.configuration(version));
            await(() -> followerListener.configurationRevision() == expected);
        }
        assertThat(follower.isUpToDate()).isTrue();
        // It does not answer peers itself, because its own state depends on another daemon.
        assertThat(follower.awaitChanges(StoreRevision.none(), 0)).isInstanceOf(StoreRelayReply.Unavailable.class);
    }

    @Test
    void serversThatExpireInAnOutageStayListedAtAFollowerThatLearnsOfItFromItsWatcher() throws Exception {
        startBoth();
        standIn.failWithStatus(503);
        await(() -> !watcher.isUpToDate());
        TimeUnit.MILLISECONDS.sleep(1_500);
        standIn.remove("servers/i-1");
        standIn.failWithStatus(0);
        await(() -> follower.isUpToDate() && watcher.isUpToDate());
        assertThat(followerListener.has("i-1")).isTrue();
        await(() -> !followerListener.has("i-1"));
    }

    private void startBoth() {
        standIn.write("op/config", PlatformTestDocuments.configuration(5));
        standIn.write("servers/i-1", PlatformTestDocuments.server(8081));
        watcher.start(watcherListener);
        await(watcher::isUpToDate);
        follower.start(followerListener);
        await(() -> follower.isUpToDate() && followerListener.has("i-1") && followerListener.has("follower"));
    }

    private TcpFaultRelay startPath() {
        try {
            return TcpFaultRelay.start(
                    standIn.address().getHost(), standIn.address().getPort());
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    private static MetadataStoreFleetSource newSource(String name, TcpFaultRelay path, StoreRelay storeRelay) {
        KeyValueAdapter adapter = new KeyValueAdapter();
        Instance self = Instance.of(name, InstanceRole.PROXY, "127.0.0.1:7200", "region", "domain", InstanceState.LIVE);
        return MetadataStoreFleetSource.create(
                adapter,
                adapter.openStore(URI.create("http://" + path.address())),
                self,
                () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()),
                storeRelay,
                PropagationTimes.of(2_000));
    }

    private static void await(BooleanSupplier condition) {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(15);
        while (!condition.getAsBoolean()) {
            assertThat(System.nanoTime()).as("condition not met within 15 s").isLessThan(deadlineNanos);
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(5));
        }
    }

    /** Asks the watcher of the test in place of a call between processes. */
    private final class MutableRelay implements StoreRelay {
        volatile boolean answering = true;
        volatile StoreRelayReply fixedReply;
        final AtomicInteger callsWithFixedReply = new AtomicInteger();
        final AtomicInteger lastAfterRevision = new AtomicInteger();

        @Override
        public boolean isWatcher() {
            return false;
        }

        @Override
        public StoreRelayReply awaitChanges(StoreRevision afterRevision, long waitMillis, long totalMillis) {
            lastAfterRevision.set((int) afterRevision.number());
            if (fixedReply != null) {
                callsWithFixedReply.incrementAndGet();
                LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(50));
                return fixedReply;
            }
            return answering ? watcher.awaitChanges(afterRevision, waitMillis) : new StoreRelayReply.Unavailable();
        }
    }
}
