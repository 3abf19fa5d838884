package org.cassiabank.source;

import java.util.List;
import java.util.Objects;

/**
 * One page of the entries whose keys start with a prefix, in the order of the keys.
 *
 * @param entries the entries
 * @param hasMore whether further pages follow; pages are read at different revisions
 * @param revision the position in the history of the store at which the page was read
 */
public record StorePage(List<StoreEntry> entries, boolean hasMore, StoreRevision revision) {

    /**
     * Copies the entries.
     *
     * @throws NullPointerException if a component or an entry is null
     */
    public StorePage {
        entries = List.copyOf(entries);
        Objects.requireNonNull(revision, "revision");
    }

    /**
     * Returns about how much memory the entries take.
     *
     * @return the length of all keys and values, in bytes
     */
    public long sizeBytes() {
        return entries.stream()
                .mapToLong(entry -> entry.key().length() + entry.value().length)
                .sum();
    }
}
