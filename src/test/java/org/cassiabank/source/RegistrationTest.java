package org.cassiabank.source;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against a daemon that renews or ends the lease of another holder, and against one that stays unregistered. */
class RegistrationTest {
    private static final String KEY = "cassiabank/daemons/a";

    private final FakeStore store = new FakeStore();
    private final Registration registration = Registration.create(store, KEY, new byte[] {1});

    @Test
    void aRegistrationIsRenewedWithoutBeingWrittenAgain() {
        assertThat(registration.renew(false)).isTrue();
        assertThat(registration.renew(true)).isFalse();
        assertThat(store.calls).containsExactly("grant 1", "put 1", "renew 1");
    }

    @Test
    void aLeaseOfAFormerEraIsNotRenewedOnceTheNewEraIsKnown() {
        registration.renew(false);
        store.beginEra();
        store.knownEra = store.era;
        store.calls.clear();
        assertThat(registration.isOutdated()).isTrue();
        assertThat(registration.renew(true)).isTrue();
        assertThat(registration.isOutdated()).isFalse();
        assertThat(store.calls).containsExactly("grant 1", "put 1");
    }

    @Test
    void aRenewalThatRevealsANewEraLeavesTheNewRegistrationToTheNextCall() {
        registration.renew(false);
        store.beginEra();
        store.leases.add(1L);
        assertThat(registration.renew(true)).isFalse();
        assertThat(registration.isOutdated()).isTrue();
        assertThat(registration.renew(true)).isTrue();
        assertThat(store.leaseByKey).containsEntry(KEY, 2L);
    }

    @Test
    void aLeaseThatWasGrantedBeforeTheRestorationIsNotTrustedWhenTheEntryIsWrittenAfterIt() {
        store.onPut = () -> {
            store.beginEra();
            store.leases.add(1L);
            store.onPut = () -> {};
        };
        assertThat(registration.renew(false)).isFalse();
        assertThat(registration.isOutdated()).isTrue();
        assertThat(registration.renew(true)).isTrue();
        assertThat(store.leaseByKey).containsEntry(KEY, 2L);
    }

    @Test
    void removingTheRegistrationKeepsTheKeysOfAnotherHolderOfTheSameLeaseNumber() {
        registration.renew(false);
        store.beginEra();
        store.leases.add(1L);
        store.leaseByKey.put("another", 1L);
        store.leaseByKey.put(KEY, 1L);
        registration.remove();
        assertThat(store.leaseByKey).containsOnlyKeys("another");
        assertThat(store.leases).contains(1L);
    }

    /** A store whose leases are numbered from 1 in each era. */
    private static final class FakeStore implements MetadataStore {
        private final List<String> calls = new ArrayList<>();
        private final Set<Long> leases = new HashSet<>();
        private final Map<String, Long> leaseByKey = new HashMap<>();
        private Runnable onPut = () -> {};
        private long era = 1;
        private long knownEra;

        private void beginEra() {
            era++;
            leases.clear();
            leaseByKey.clear();
        }

        @Override
        public long era() {
            return knownEra;
        }

        @Override
        public StoreLease grantLease(long durationMillis) {
            knownEra = era;
            long id = leases.size() + 1;
            leases.add(id);
            calls.add("grant " + id);
            return new StoreLease(id, era);
        }

        @Override
        public boolean renewLease(StoreLease lease) {
            knownEra = era;
            calls.add("renew " + lease.id());
            return leases.contains(lease.id());
        }

        @Override
        public boolean put(String key, byte[] value, StoreLease lease) {
            onPut.run();
            knownEra = era;
            calls.add("put " + lease.id());
            boolean accepted = leases.contains(lease.id());
            if (accepted) {
                leaseByKey.put(key, lease.id());
            }
            return accepted;
        }

        @Override
        public void remove(String key) {
            leaseByKey.remove(key);
        }

        @Override
        public StorePage list(String prefix, String afterKey) {
            throw new UnsupportedOperationException();
        }

        @Override
        public Optional<StoreWatchResult> watch(
                String prefix, StoreRevision afterRevision, long waitMillis, long replyMillis) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void closeConnections() {}
    }
}
