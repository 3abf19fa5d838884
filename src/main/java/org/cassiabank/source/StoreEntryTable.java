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
 * entry is replaced or removed only by a change with a later revision. All entries are of one era: when the store has
 * come back from an older copy, its changes do not continue this copy, and all entries have to be read again.
 * Instances are not thread-safe.
 */
final class StoreEntryTable {
    private final TreeMap<String, StoreEntry> entriesByKey = new TreeMap<>();
    private StoreRevision revision = StoreRevision.none();
    private boolean complete;

    /** Returns an immutable copy of the entries whose keys start with the prefix, in the order of their keys. */
    Collection<StoreEntry> withPrefix(String prefix) {
        return List.copyOf(
                entriesByKey.subMap(prefix, prefix + Character.MAX_VALUE).values());
    }

    Optional<StoreEntry> find(String key) {
        return Optional.ofNullable(entriesByKey.get(Objects.requireNonNull(key, "key")));
    }

    /** Returns the position up to which all changes are included. */
    StoreRevision revision() {
        return revision;
    }

    /**
     * Tells whether changes can be applied.
     *
     * @param latestEra the latest era that the store has named
     * @return false before a complete read, and if the entries are of an earlier era
     */
    boolean isCompleteIn(long latestEra) {
        return complete && revision.era() >= latestEra;
    }

    /** Requires a complete read before further changes, because some have been missed. */
    void invalidate() {
        complete = false;
    }

    /**
     * Replaces all entries with those of a complete read. Of two entries with the same key the one with the later
     * revision is stored.
     *
     * @param pages all pages in the order in which they were read, at least one
     * @return false if the store came back from an older copy while the pages were read, so that they do not belong
     *     together, or if they are of an earlier era than this copy; the entries are unchanged then
     */
    boolean replaceAll(List<StorePage> pages) {
        StoreRevision firstRevision = pages.getFirst().revision();
        boolean sameEra = pages.stream().allMatch(page -> page.revision().era() == firstRevision.era());
        if (!sameEra || firstRevision.era() < revision.era()) {
            return false;
        }
        entriesByKey.clear();
        pages.forEach(page -> page.entries().forEach(this::put));
        revision = pages.stream()
                .map(StorePage::revision)
                .min(StoreRevision::compareTo)
                .orElseThrow();
        complete = true;
        return true;
    }

    /**
     * Applies changes of the era of this copy, each unless the stored entry of its key has the same or a later
     * revision. Changes of an earlier era have arrived late and are ignored; those of a later one require a complete
     * read.
     *
     * @param changes the changes
     * @return true if the changes are of the era of this copy
     */
    boolean apply(StoreWatchResult changes) {
        if (changes.revision().era() != revision.era()) {
            complete = complete && changes.revision().era() < revision.era();
            return false;
        }
        // A response that has arrived late may contain changes that were applied, and undone by later ones, before.
        changes.events().stream()
                .filter(event -> event.revision().isAfter(revision))
                .forEach(this::apply);
        revision = revision.latest(changes.revision());
        return true;
    }

    private void apply(StoreEvent event) {
        switch (event) {
            case StoreEvent.Written written -> put(written.entry());
            case StoreEvent.Removed removed -> {
                StoreEntry existing = entriesByKey.get(removed.key());
                if (existing != null && removed.revision().isAfter(existing.revision())) {
                    entriesByKey.remove(removed.key());
                }
            }
        }
    }

    private void put(StoreEntry entry) {
        entriesByKey.merge(
                entry.key(),
                entry,
                (existing, candidate) -> candidate.revision().isAfter(existing.revision()) ? candidate : existing);
    }
}
