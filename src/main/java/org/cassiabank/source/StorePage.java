package org.cassiabank.source;

import java.util.List;

/**
 * One page of the entries whose keys start with a prefix, in the order of the keys.
 *
 * @param entries the entries
 * @param hasMore whether further pages follow; pages are read at different revisions
 * @param revision the revision of the store at which the page was read
 */
public record StorePage(List<StoreEntry> entries, boolean hasMore, long revision) {

    /**
     * Copies the entries.
     *
     * @throws NullPointerException if the list or an entry is null
     */
    public StorePage {
        entries = List.copyOf(entries);
    }
}
