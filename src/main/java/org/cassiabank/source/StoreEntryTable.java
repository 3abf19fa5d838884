package org.cassiabank.source;

import java.util.Collection;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;

/**
 * A local copy of the entries of the store, built from the pages of a complete read and the changes since its first
 * page.
 *
 * <p>Pages are read at different revisions, so a watch may return a change that a page already contains. Therefore an
 * entry is replaced or removed only by a change with a higher revision. Instances are not thread-safe.
 */
final class StoreEntryTable {
    private final TreeMap<String, StoreEntry> entriesByKey = new TreeMap<>();

    /** Returns an immutable copy of the entries whose keys start with the prefix, in the order of their keys. */
    Collection<StoreEntry> withPrefix(String prefix) {
        return List.copyOf(
                entriesByKey.subMap(prefix, prefix + Character.MAX_VALUE).values());
    }

    Optional<StoreEntry> find(String key) {
        return Optional.ofNullable(entriesByKey.get(Objects.requireNonNull(key, "key")));
    }

    /**
     * Replaces all entries with those of a complete read. Of two entries with the same key the one with the higher
     * revision is stored.
     *
     * @param newEntries the entries of all pages
     */
    void replaceAll(Collection<StoreEntry> newEntries) {
        entriesByKey.clear();
        newEntries.forEach(this::put);
    }

    /**
     * Applies a change unless the stored entry of its key has the same or a higher revision.
     *
     * @param event the write or removal
     */
    void apply(StoreEvent event) {
        switch (event) {
            case StoreEvent.Written written -> put(written.entry());
            case StoreEvent.Removed removed -> {
                StoreEntry existing = entriesByKey.get(removed.key());
                if (existing != null && existing.revision() < removed.revision()) {
                    entriesByKey.remove(removed.key());
                }
            }
        }
    }

    private void put(StoreEntry entry) {
        entriesByKey.merge(
                entry.key(),
                entry,
                (existing, candidate) -> candidate.revision() > existing.revision() ? candidate : existing);
    }
}
