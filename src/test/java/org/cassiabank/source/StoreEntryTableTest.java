package org.cassiabank.source;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against entries that step back because pages and changes were read at different revisions. */
class EntryTableTest {
    private final EntryTable table = new EntryTable();

    @Test
    void aChangeThatIsOlderThanThePageLeavesTheEntryAlone() {
        table.replaceAll(List.of(entry("a", 9)));
        table.apply(new StoreEvent.Written(entry("a", 5)));
        table.apply(new StoreEvent.Removed("a", 6));
        assertThat(table.find("a")).map(StoreEntry::revision).contains(9L);
    }

    @Test
    void aLaterRemovalRemoves() {
        table.replaceAll(List.of(entry("a", 9)));
        table.apply(new StoreEvent.Removed("a", 10));
        assertThat(table.find("a")).isEmpty();
    }

    @Test
    void aCompleteReadForgetsWhatItDoesNotHave() {
        table.replaceAll(List.of(entry("a", 1), entry("b", 2)));
        table.replaceAll(List.of(entry("b", 2)));
        assertThat(table.find("a")).isEmpty();
    }

    @Test
    void aPrefixSelectsItsKeysOnly() {
        table.replaceAll(List.of(entry("servers/a", 1), entry("serversx", 2), entry("op/config", 3)));
        assertThat(table.withPrefix("servers/")).extracting(StoreEntry::key).containsExactly("servers/a");
    }

    private static StoreEntry entry(String key, long revision) {
        return new StoreEntry(key, new byte[] {1}, revision);
    }
}
