package org.cassiabank.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.cassiabank.kernel.CassiabankException;
import org.cassiabank.kernel.ErrorCode;
import org.cassiabank.source.MetadataStore;
import org.cassiabank.source.StoreEntry;
import org.cassiabank.source.StoreEvent;
import org.cassiabank.source.StoreLease;
import org.cassiabank.source.StorePage;
import org.cassiabank.source.StoreRevision;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against misread responses of the store: an ended lease reported as an outage or the reverse, a compacted
 * history reported as no changes, a lost response reported as success.
 */
class KeyValueStoreTest {
    private final StoreStandIn standIn = StoreStandIn.start();
    private final MetadataStore store = new KeyValueAdapter().openStore(standIn.address());

    @AfterEach
    void closeStandIn() {
        standIn.close();
    }

    @Test
    void aListIsReadPageByPage() {
        standIn.setPageSize(2);
        standIn.write("servers/a", "1");
        standIn.write("servers/b", "2");
        standIn.write("servers/c", "3");
        StorePage first = store.list("servers/", "");
        assertThat(first.entries()).extracting(StoreEntry::key).containsExactly("servers/a", "servers/b");
        assertThat(first.hasMore()).isTrue();
        StorePage second = store.list("servers/", "servers/b");
        assertThat(second.entries()).extracting(StoreEntry::key).containsExactly("servers/c");
        assertThat(second.hasMore()).isFalse();
        assertThat(second.revision()).isEqualTo(new StoreRevision(1, standIn.revision()));
    }

    @Test
    void aWatchReturnsWritesAndRemovalsInOrder() {
        long revisionBefore = standIn.revision();
        standIn.write("servers/a", "text");
        standIn.remove("servers/a");
        List<StoreEvent> events = store.watch("", new StoreRevision(1, revisionBefore), 1, 1_500)
                .orElseThrow()
                .events();
        assertThat(events).hasSize(2);
        StoreEvent.Written written = (StoreEvent.Written) events.getFirst();
        assertThat(new String(written.entry().value(), StandardCharsets.UTF_8)).isEqualTo("text");
        assertThat(events.getLast())
                .isEqualTo(new StoreEvent.Removed("servers/a", new StoreRevision(1, revisionBefore + 2)));
    }

    @Test
    void aWatchWithoutChangesReturnsNoEvents() {
        assertThat(store.watch("servers/", new StoreRevision(1, standIn.revision()), 1, 1_500)
                        .orElseThrow()
                        .events())
                .isEmpty();
    }

    @Test
    void aWatchAfterACompactedRevisionReturnsAnEmptyOptional() {
        long revisionBefore = standIn.revision();
        standIn.write("servers/a", "1");
        standIn.compactHistory();
        assertThat(store.watch("", new StoreRevision(1, revisionBefore), 1, 1_500))
                .isEmpty();
    }

    @Test
    void anExpiredLeaseReturnsFalseAndAnUnavailableStoreThrows() {
        StoreLease lease = store.grantLease(5_000);
        assertThat(store.renewLease(lease)).isTrue();
        assertThat(store.put("cassiabank/daemons/a", new byte[] {1}, lease)).isTrue();
        standIn.expireLeases();
        assertThat(standIn.has("cassiabank/daemons/a")).isFalse();
        assertThat(store.renewLease(lease)).isFalse();
        assertThat(store.put("cassiabank/daemons/a", new byte[] {1}, lease)).isFalse();
        standIn.failWithStatus(503);
        assertThatThrownBy(() -> store.renewLease(lease)).satisfies(KeyValueStoreTest::assertStoreUnavailable);
    }

    @Test
    void removingAKeyKeepsOtherKeysOfItsLease() {
        StoreLease lease = store.grantLease(5_000);
        store.put("cassiabank/daemons/a", new byte[] {1}, lease);
        store.put("cassiabank/daemons/b", new byte[] {1}, lease);
        store.remove("cassiabank/daemons/a");
        store.remove("cassiabank/daemons/missing");
        assertThat(standIn.has("cassiabank/daemons/a")).isFalse();
        assertThat(standIn.has("cassiabank/daemons/b")).isTrue();
    }

    @Test
    void theEraOfEachResponseIsTold() {
        StoreLease lease = store.grantLease(5_000);
        assertThat(lease.era()).isEqualTo(1);
        standIn.restore(standIn.copy());
        standIn.failWithStatus(503);
        assertThatThrownBy(() -> store.renewLease(lease)).satisfies(KeyValueStoreTest::assertStoreUnavailable);
        assertThat(store.era()).isEqualTo(2);
        standIn.failWithStatus(0);
        standIn.write("servers/a", "1");
        assertThat(store.list("", "").entries().getFirst().revision())
                .isEqualTo(new StoreRevision(2, standIn.revision()));
    }

    @Test
    void refusedCallsAndLostResponsesAreReportedAsUnavailable() {
        for (int status : new int[] {429, 503}) {
            standIn.failWithStatus(status);
            assertThatThrownBy(() -> store.list("servers/", "")).satisfies(KeyValueStoreTest::assertStoreUnavailable);
            assertThatThrownBy(() -> store.watch("", new StoreRevision(1, 1), 1, 1_500))
                    .satisfies(KeyValueStoreTest::assertStoreUnavailable);
            assertThatThrownBy(() -> store.grantLease(1)).satisfies(KeyValueStoreTest::assertStoreUnavailable);
        }
        standIn.failWithStatus(0);
        standIn.dropResponses(true);
        StoreLease lease = store.grantLease(5_000);
        assertThatThrownBy(() -> store.put("k", new byte[] {1}, lease))
                .satisfies(KeyValueStoreTest::assertStoreUnavailable);
        assertThat(standIn.has("k")).isTrue();
    }

    private static void assertStoreUnavailable(Throwable thrown) {
        assertThat(thrown).isInstanceOfSatisfying(CassiabankException.class, exception -> assertThat(exception.code())
                .isEqualTo(ErrorCode.STORE_UNAVAILABLE));
    }
}
