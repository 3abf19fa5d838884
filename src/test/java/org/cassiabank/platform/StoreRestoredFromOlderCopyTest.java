package org.cassiabank.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.cassiabank.membership.Instance;
import org.cassiabank.membership.InstanceRole;
import org.cassiabank.membership.InstanceState;
import org.cassiabank.source.MetadataStoreFleetSource;
import org.cassiabank.source.PropagationTimes;
import org.cassiabank.source.StoreRelay;
import org.cassiabank.source.StoreRelayReply;
import org.cassiabank.source.StoreRevision;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against daemons that hold on to the numbers of a store that has come back from an older copy: its revisions
 * and leases are given out again, so a known number may stand for another change or another holder.
 */
@Timeout(60)
class StoreRestoredFromOlderCopyTest {
    /** The bounds of the platform: 3 s until the store counts as stable and 2 s to put the change into force. */
    private static final Duration CHANGE_BOUND = Duration.ofSeconds(5);

    private static final Duration MAXIMUM_WAIT = Duration.ofSeconds(15);
    private static final String DAEMON = "proxy-1";
    private static final String DAEMON_KEY = "cassiabank/daemons/" + DAEMON;

    private final StoreStandIn store = StoreStandIn.start();
    private final RecordingFleetListener listener = new RecordingFleetListener();
    private final MetadataStoreFleetSource source = newSource(DAEMON, StoreRelay.none());
    private final RecordingFleetListener followerListener = new RecordingFleetListener();
    private final MetadataStoreFleetSource follower = newSource("proxy-2", new RelayThroughSource());

    @BeforeEach
    void startAndAwaitFirstEntries() {
        store.write("op/config", PlatformTestDocuments.configuration(5));
        store.write("servers/i-1", PlatformTestDocuments.server(8081));
        store.write("servers/i-2", PlatformTestDocuments.server(8082));
        source.start(listener);
        await(() -> source.isUpToDate() && listener.has("i-1") && listener.has(DAEMON));
        follower.start(followerListener);
        await(() -> follower.isUpToDate() && followerListener.has("proxy-2") && listener.has("proxy-2"));
    }

    @AfterEach
    void close() {
        follower.close();
        source.close();
        store.close();
    }

    @Test
    void aChangeIsInForceInTimeAlthoughItsRevisionWasGivenOutBefore() {
        StoreStandIn.Copy copy = store.copy();
        writeConfigurations(6, 9);
        await(() -> listener.configurationRevision() == 9 && followerListener.configurationRevision() == 9);
        long knownRevision = store.revision();
        restore(copy, () -> {
            store.write("op/config", PlatformTestDocuments.configuration(12));
            writeHeartbeatsUntilRevision(knownRevision);
        });
        await(
                CHANGE_BOUND,
                () -> listener.configurationRevision() == 12 && followerListener.configurationRevision() == 12);
    }

    @Test
    void changesAfterTheRestorationAreInForceInTimeWhileTheRevisionIsLowerThanBefore() {
        StoreStandIn.Copy copy = store.copy();
        writeConfigurations(6, 20);
        await(() -> listener.configurationRevision() == 20 && followerListener.configurationRevision() == 20);
        restore(copy, () -> store.write("op/config", PlatformTestDocuments.configuration(20)));
        store.write("op/config", PlatformTestDocuments.configuration(21));
        store.write("servers/i-3", PlatformTestDocuments.server(8083));
        await(
                CHANGE_BOUND,
                () -> listener.configurationRevision() == 21
                        && followerListener.configurationRevision() == 21
                        && listener.has("i-3")
                        && followerListener.has("i-3"));
    }

    @Test
    void aConfirmedConfigurationStaysInForceWhileTheStoreHoldsAnOlderOne() {
        StoreStandIn.Copy copy = store.copy();
        writeConfigurations(6, 7);
        await(() -> listener.configurationRevision() == 7 && followerListener.configurationRevision() == 7);
        restore(copy, () -> store.write("servers/i-3", PlatformTestDocuments.server(8083)));
        await(() -> listener.has("i-3") && followerListener.has("i-3"));
        assertThat(listener.configurationRevision()).isEqualTo(7);
        assertThat(followerListener.configurationRevision()).isEqualTo(7);
    }

    @Test
    void severalRestorationsInARowLeaveTheNewestChangeInForce() {
        StoreStandIn.Copy copy = store.copy();
        writeConfigurations(6, 9);
        await(() -> listener.configurationRevision() == 9);
        restore(copy, () -> store.write("op/config", PlatformTestDocuments.configuration(10)));
        restore(copy, () -> store.write("op/config", PlatformTestDocuments.configuration(11)));
        await(
                CHANGE_BOUND,
                () -> listener.configurationRevision() == 11 && followerListener.configurationRevision() == 11);
    }

    @Test
    void aServerThatHadLeftIsNotUsedBecauseTheCopyListsIt() {
        StoreStandIn.Copy copy = store.copy();
        store.write("servers/i-2", PlatformTestDocuments.server(8082).replace("\"ready\"", "\"draining\""));
        store.remove("servers/i-1");
        await(() -> !listener.has("i-1") && listener.isLeaving("i-2") && followerListener.isLeaving("i-2"));
        restore(copy, () -> store.write("servers/i-3", PlatformTestDocuments.server(8083)));
        await(() -> listener.has("i-3") && followerListener.has("i-3"));
        assertThat(listener.has("i-1")).isFalse();
        assertThat(followerListener.has("i-1")).isFalse();
        assertThat(listener.isLeaving("i-2")).isTrue();
        assertThat(followerListener.isLeaving("i-2")).isTrue();
    }

    @Test
    void aServerThatTheCopyLacksStaysListedUntilItHasHadTimeToRegisterAgain() {
        StoreStandIn.Copy copy = store.copy();
        store.write("servers/i-3", PlatformTestDocuments.server(8083));
        await(() -> listener.has("i-3") && followerListener.has("i-3"));
        restore(copy, () -> store.write("servers/i-4", PlatformTestDocuments.server(8084)));
        await(() -> listener.has("i-4") && followerListener.has("i-4"));
        assertThat(listener.has("i-3")).isTrue();
        assertThat(followerListener.has("i-3")).isTrue();
        await(() -> !listener.has("i-3") && !followerListener.has("i-3"));
    }

    @Test
    void aDaemonRegistersAnewBecauseItsLeaseMayBelongToAnother() {
        StoreStandIn.Copy copy = store.copy();
        store.expireLeases();
        await(() -> listener.has(DAEMON) && store.has(DAEMON_KEY) && store.leaseOf(DAEMON_KEY) > copy.lastLeaseId());
        long formerLease = store.leaseOf(DAEMON_KEY);
        restore(copy, () -> {
            while (store.grantLeaseToAnother("another/" + formerLease) < formerLease) {
                // Leases up to the one that the daemon holds are given out again.
            }
        });
        await(() -> store.has(DAEMON_KEY) && store.leaseOf(DAEMON_KEY) > formerLease);
        source.announceLeaving();
        await(() -> !store.has(DAEMON_KEY));
        assertThat(store.has("another/" + formerLease)).isTrue();
    }

    private void writeConfigurations(int firstVersion, int lastVersion) {
        for (int version = firstVersion; version <= lastVersion; version++) {
            store.write("op/config", PlatformTestDocuments.configuration(version));
        }
    }

    private void writeHeartbeatsUntilRevision(long revision) {
        while (store.revision() < revision) {
            store.write("servers/i-2", PlatformTestDocuments.server(8082));
        }
    }

    /** Takes the store away for 1.2 s and brings it back from a copy, with writes that no daemon has read before. */
    private void restore(StoreStandIn.Copy copy, Runnable firstWrites) {
        store.failWithStatus(503);
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(1_200));
        store.restore(copy);
        firstWrites.run();
        store.failWithStatus(0);
    }

    private MetadataStoreFleetSource newSource(String name, StoreRelay relay) {
        KeyValueAdapter adapter = new KeyValueAdapter();
        return MetadataStoreFleetSource.create(
                adapter,
                adapter.openStore(store.address()),
                Instance.of(name, InstanceRole.PROXY, "127.0.0.1:7200", "region", "domain", InstanceState.LIVE),
                () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()),
                relay,
                PropagationTimes.of(2_000));
    }

    private static void await(BooleanSupplier condition) {
        await(MAXIMUM_WAIT, condition);
    }

    private static void await(Duration maximumWait, BooleanSupplier condition) {
        long deadlineNanos = System.nanoTime() + maximumWait.toNanos();
        while (!condition.getAsBoolean()) {
            assertThat(System.nanoTime())
                    .as("condition not met within " + maximumWait)
                    .isLessThan(deadlineNanos);
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(5));
        }
    }

    /** Asks the watcher of the test in place of a call between processes. */
    private final class RelayThroughSource implements StoreRelay {
        @Override
        public boolean isWatcher() {
            return false;
        }

        @Override
        public StoreRelayReply awaitChanges(StoreRevision afterRevision, long waitMillis, long totalMillis) {
            return source.awaitChanges(afterRevision, waitMillis);
        }
    }
}
