package org.cassiabank.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.cassiabank.membership.Instance;
import org.cassiabank.membership.InstanceRole;
import org.cassiabank.membership.InstanceState;
import org.cassiabank.source.MetadataStore;
import org.cassiabank.source.MetadataStoreFleetSource;
import org.cassiabank.source.PropagationTimes;
import org.cassiabank.source.StoreEntry;
import org.cassiabank.source.StoreLease;
import org.cassiabank.source.StorePage;
import org.cassiabank.source.StoreRelay;
import org.cassiabank.source.StoreRevision;
import org.cassiabank.source.StoreWatchResult;
import org.junit.jupiter.api.Test;

/** Guards against a store whose pages never end, which would fill the heap of a daemon. */
class EndlessPagesTest {
    private static final long MAXIMUM_WAIT_MILLIS = 15_000;
    private static final StoreRevision REVISION = new StoreRevision(1, 530);

    @Test
    void aReadWhosePagesDoNotEndIsGivenUpAndStartedAnew() throws InterruptedException {
        EndlessStore store = new EndlessStore();
        RecordingFleetListener listener = new RecordingFleetListener();
        MetadataStoreFleetSource source = MetadataStoreFleetSource.create(
                new KeyValueAdapter(),
                store,
                Instance.of("proxy-1", InstanceRole.PROXY, "127.0.0.1:7200", "region", "domain", InstanceState.LIVE),
                () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()),
                StoreRelay.none(),
                PropagationTimes.of(2_000));
        try {
            source.start(listener);
            assertThat(store.readsBegun.await(MAXIMUM_WAIT_MILLIS, TimeUnit.MILLISECONDS))
                    .as("two reads begin")
                    .isTrue();
            assertThat(source.isUpToDate()).isFalse();
            assertThat(store.largestReadBytes.get())
                    .isLessThan(Runtime.getRuntime().maxMemory() / 2);
        } finally {
            source.close();
        }
    }

    /** A store that names another page behind each; all values are the same array, so that the test needs no memory. */
    private static final class EndlessStore implements MetadataStore {
        private static final int VALUE_BYTES = 8 * 1_048_576;

        private final CountDownLatch readsBegun = new CountDownLatch(2);
        private final AtomicLong readBytes = new AtomicLong();
        private final AtomicLong largestReadBytes = new AtomicLong();
        private final byte[] value = new byte[VALUE_BYTES];
        private long lastKey;

        @Override
        public StorePage list(String prefix, String afterKey) {
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(1));
            if (afterKey.isEmpty()) {
                readsBegun.countDown();
                readBytes.set(0);
            }
            largestReadBytes.accumulateAndGet(readBytes.addAndGet(VALUE_BYTES), Math::max);
            return new StorePage(List.of(new StoreEntry("k" + lastKey++, value, REVISION)), true, REVISION);
        }

        @Override
        public long era() {
            return 1;
        }

        @Override
        public Optional<StoreWatchResult> watch(
                String prefix, StoreRevision afterRevision, long waitMillis, long replyMillis) {
            return Optional.empty();
        }

        @Override
        public StoreLease grantLease(long durationMillis) {
            return new StoreLease(1, 1);
        }

        @Override
        public boolean renewLease(StoreLease lease) {
            return true;
        }

        @Override
        public boolean put(String key, byte[] putValue, StoreLease lease) {
            return true;
        }

        @Override
        public void remove(String key) {
            // Nothing is kept.
        }

        @Override
        public void closeConnections() {
            // There are none.
        }
    }
}
