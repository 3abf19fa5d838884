package org.cassiabank.source;

import java.util.Collection;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The entries of the store as far as they are known, built from pages and from the changes since the first page.
 *
 * <p>Pages are read at different revisions, so some changes are seen a second time; an entry is only replaced or
 * removed by something later. Instances are not thread-safe.
 */
final class EntryTable {
    private final TreeMap<String, StoreEntry> entries = new TreeMap<>();

    /** Returns the entries whose keys have the prefix, in the order of their keys. */
    Collection<StoreEntry> withPrefix(String prefix) {
        return List.copyOf(entries.subMap(prefix, prefix + Character.MAX_VALUE).values());
    }

    Optional<StoreEntry> find(String key) {
        return Optional.ofNullable(entries.get(Objects.requireNonNull(key, "key")));
    }

    /**
     * Replaces all entries by those of a complete read.
     *
     * @param read the entries of all pages
     */
    void replaceAll(Collection<StoreEntry> read) {
        entries.clear();
        read.forEach(this::put);
    }

    /**
     * Applies a change unless something later is known.
     *
     * @param event the change
     */
    void apply(StoreEvent event) {
        switch (event) {
            case StoreEvent.Written written -> put(written.entry());
            case StoreEvent.Removed removed -> {
                StoreEntry known = entries.get(removed.key());
                if (known != null && known.revision() < removed.revision()) {
                    entries.remove(removed.key());
                }
            }
        }
    }

    private void put(StoreEntry entry) {
        entries.merge(entry.key(), entry, (known, next) -> next.revision() > known.revision() ? next : known);
    }
}
