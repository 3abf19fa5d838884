package org.cassiabank.source;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against entries that revert to an older revision. Pages and changes are read at different revisions, so a
 * change can arrive that is older than the page; and a store that comes back from an older copy gives out its revisions
 * again.
 */
class StoreEntryTableTest {
    private final StoreEntryTable table = new StoreEntryTable();

    @Test
    void aChangeOlderThanThePageDoesNotReplaceOrRemoveTheEntry() {
        assertThat(table.replaceAll(List.of(page(1, 4), page(1, 10, entry(1, "a", 9)))))
                .isTrue();
        apply(1, new StoreEvent.Written(entry(1, "a", 5)));
        apply(1, new StoreEvent.Removed("a", new StoreRevision(1, 6)));
        assertThat(table.find("a")).map(StoreEntry::revision).contains(new StoreRevision(1, 9));
    }

    @Test
    void aRemovalAtALaterRevisionRemovesTheEntry() {
        read(1, entry(1, "a", 9));
        apply(1, new StoreEvent.Removed("a", new StoreRevision(1, 11)));
        assertThat(table.find("a")).isEmpty();
    }

    @Test
    void aLateResponseDoesNotBringBackARemovedEntry() {
        read(1, entry(1, "a", 9));
        table.apply(new StoreWatchResult(
                List.of(new StoreEvent.Removed("a", new StoreRevision(1, 15))), new StoreRevision(1, 15)));
        table.apply(new StoreWatchResult(List.of(new StoreEvent.Written(entry(1, "a", 12))), new StoreRevision(1, 12)));
        assertThat(table.find("a")).isEmpty();
        assertThat(table.revision()).isEqualTo(new StoreRevision(1, 15));
    }

    @Test
    void aCompleteReadRemovesEntriesThatItDoesNotContain() {
        read(1, entry(1, "a", 1), entry(1, "b", 2));
        read(1, entry(1, "b", 2));
        assertThat(table.find("a")).isEmpty();
    }

    @Test
    void aPrefixSelectsOnlyKeysThatStartWithIt() {
        read(1, entry(1, "servers/a", 1), entry(1, "serversx", 2), entry(1, "op/config", 3));
        assertThat(table.withPrefix("servers/")).extracting(StoreEntry::key).containsExactly("servers/a");
    }

    @Test
    void changesOfALaterEraRequireACompleteRead() {
        read(1, entry(1, "a", 9));
        assertThat(apply(2, new StoreEvent.Written(entry(2, "a", 12)))).isFalse();
        assertThat(table.find("a")).map(StoreEntry::revision).contains(new StoreRevision(1, 9));
        assertThat(table.isCompleteIn(1)).isFalse();
        read(2, entry(2, "a", 4));
        assertThat(table.find("a")).map(StoreEntry::revision).contains(new StoreRevision(2, 4));
        assertThat(table.isCompleteIn(2)).isTrue();
        assertThat(table.isCompleteIn(3)).isFalse();
    }

    @Test
    void changesAndPagesOfAnEarlierEraThatArriveLateAreIgnored() {
        read(2, entry(2, "a", 4));
        assertThat(apply(1, new StoreEvent.Written(entry(1, "a", 90)))).isFalse();
        assertThat(table.replaceAll(List.of(page(1, 99, entry(1, "b", 90))))).isFalse();
        assertThat(table.find("a")).map(StoreEntry::revision).contains(new StoreRevision(2, 4));
        assertThat(table.find("b")).isEmpty();
        assertThat(table.isCompleteIn(2)).isTrue();
    }

    @Test
    void pagesOfTwoErasAreNotPutTogether() {
        read(1, entry(1, "a", 9));
        assertThat(table.replaceAll(List.of(page(1, 10, entry(1, "a", 9)), page(2, 8, entry(2, "b", 8)))))
                .isFalse();
        assertThat(table.find("b")).isEmpty();
    }

    private void read(long era, StoreEntry... entries) {
        assertThat(table.replaceAll(List.of(page(era, 10, entries)))).isTrue();
    }

    private boolean apply(long era, StoreEvent event) {
        return table.apply(new StoreWatchResult(List.of(event), new StoreRevision(era, 20)));
    }

    private static StorePage page(long era, long revision, StoreEntry... entries) {
        return new StorePage(List.of(entries), false, new StoreRevision(era, revision));
    }

    private static StoreEntry entry(long era, String key, long revision) {
        return new StoreEntry(key, new byte[] {1}, new StoreRevision(era, revision));
    }
}
