package org.cassiabank.source;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against entries that revert to an older revision. Pages and changes are read at different revisions, so a
 * change can arrive that is older than the page.
 */
class StoreEntryTableTest {
    private final StoreEntryTable table = new StoreEntryTable();

    @Test
    void aChangeOlderThanThePageDoesNotReplaceOrRemoveTheEntry() {
        table.replaceAll(List.of(entry("a", 9)));
        table.apply(new StoreEvent.Written(entry("a", 5)));
        table.apply(new StoreEvent.Removed("a", 6));
        assertThat(table.find("a")).map(StoreEntry::revision).contains(9L);
    }

    @Test
    void aRemovalAtALaterRevisionRemovesTheEntry() {
        table.replaceAll(List.of(entry("a", 9)));
        table.apply(new StoreEvent.Removed("a", 10));
        assertThat(table.find("a")).isEmpty();
    }

    @Test
    void aCompleteReadRemovesEntriesThatItDoesNotContain() {
        table.replaceAll(List.of(entry("a", 1), entry("b", 2)));
        table.replaceAll(List.of(entry("b", 2)));
        assertThat(table.find("a")).isEmpty();
    }

    @Test
    void aPrefixSelectsOnlyKeysThatStartWithIt() {
        table.replaceAll(List.of(entry("servers/a", 1), entry("serversx", 2), entry("op/config", 3)));
        assertThat(table.withPrefix("servers/")).extracting(StoreEntry::key).containsExactly("servers/a");
    }

    private static StoreEntry entry(String key, long revision) {
        return new StoreEntry(key, new byte[] {1}, revision);
    }
}
