package org.cassiabank.source;

import java.util.List;

/**
 * A part of the keys with a common prefix, in the order of the keys.
 *
 * @param entries the entries
 * @param hasMore whether further pages follow; pages are read at different revisions
 * @param revision the revision of the store at which the page was read
 */
public record StorePage(List<StoreEntry> entries, boolean hasMore, long revision) {

    /**
     * Copies the entries.
     */
    public StorePage {
        entries = List.copyOf(entries);
    }
}
