package org.cassiabank.declaration;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.function.Consumer;
import org.cassiabank.collection.PersistentMap;

/**
 * Finds the values whose glob pattern matches a text without trying all patterns. Immutable.
 *
 * <p>Literal patterns are found by hash, others by the hash of their literal prefix, with one lookup for each length of
 * prefix that occurs. Only patterns with the same literal prefix are tried one after the other.
 *
 * @param <T> the type of the values
 */
final class GlobIndex<T> {
    private static final GlobPattern MATCH_ALL = new GlobPattern("*");

    private final Comparator<? super T> valueOrder;
    private final List<Entry<T>> matchAllEntries;
    private final PersistentMap<String, List<Entry<T>>> entriesByLiteral;
    private final PersistentMap<String, List<Entry<T>>> entriesByPrefix;
    /** The lengths in characters of the keys of {@link #entriesByPrefix}, ascending and without duplicates. */
    private final int[] prefixLengths;

    private GlobIndex(
            Comparator<? super T> valueOrder,
            List<Entry<T>> matchAllEntries,
            PersistentMap<String, List<Entry<T>>> entriesByLiteral,
            PersistentMap<String, List<Entry<T>>> entriesByPrefix,
            int[] prefixLengths) {
        this.valueOrder = valueOrder;
        this.matchAllEntries = matchAllEntries;
        this.entriesByLiteral = entriesByLiteral;
        this.entriesByPrefix = entriesByPrefix;
        this.prefixLengths = prefixLengths;
    }

    /** A value with its pattern. */
    record Entry<T>(GlobPattern pattern, T value) {}

    /**
     * Returns an index without values.
     *
     * @param valueOrder the order of the values in the lists that are visited
     */
    static <T> GlobIndex<T> empty(Comparator<? super T> valueOrder) {
        return new GlobIndex<>(valueOrder, List.of(), PersistentMap.empty(), PersistentMap.empty(), new int[0]);
    }

    boolean isEmpty() {
        return matchAllEntries.isEmpty() && entriesByLiteral.isEmpty() && entriesByPrefix.isEmpty();
    }

    GlobIndex<T> with(String pattern, T value) {
        return update(pattern, value, true);
    }

    GlobIndex<T> without(String pattern, T value) {
        return update(pattern, value, false);
    }

    /**
     * Visits lists of entries that together contain all whose pattern matches a text. Each list is in the order of the
     * values and may also contain entries whose pattern does not match.
     */
    void forEachCandidateList(String text, Consumer<List<Entry<T>>> visitor) {
        visitCandidates(text, entriesByLiteral.get(text), visitor);
    }

    /**
     * Visits lists of entries that together contain all whose pattern covers the given one. Each list is in the order
     * of the values and may also contain entries whose pattern does not cover it.
     */
    void forEachCoveringCandidateList(GlobPattern pattern, Consumer<List<Entry<T>>> visitor) {
        String prefix = pattern.literalPrefix();
        visitCandidates(prefix, pattern.isLiteral() ? entriesByLiteral.get(prefix) : null, visitor);
    }

    private void visitCandidates(String text, List<Entry<T>> literalEntries, Consumer<List<Entry<T>>> visitor) {
        if (!matchAllEntries.isEmpty()) {
            visitor.accept(matchAllEntries);
        }
        if (literalEntries != null) {
            visitor.accept(literalEntries);
        }
        for (int length : prefixLengths) {
            if (length > text.length()) {
                break;
            }
            List<Entry<T>> entries = entriesByPrefix.get(text.substring(0, length));
            if (entries != null) {
                visitor.accept(entries);
            }
        }
    }

    private GlobIndex<T> update(String text, T value, boolean add) {
        if (text.equals(MATCH_ALL.text())) {
            List<Entry<T>> entries = update(matchAllEntries, new Entry<>(MATCH_ALL, value), add);
            return new GlobIndex<>(valueOrder, entries, entriesByLiteral, entriesByPrefix, prefixLengths);
        }
        GlobPattern pattern = new GlobPattern(text);
        Entry<T> entry = new Entry<>(pattern, value);
        if (pattern.isLiteral()) {
            return new GlobIndex<>(
                    valueOrder,
                    matchAllEntries,
                    update(entriesByLiteral, text, entry, add),
                    entriesByPrefix,
                    prefixLengths);
        }
        String prefix = pattern.literalPrefix();
        PersistentMap<String, List<Entry<T>>> updated = update(entriesByPrefix, prefix, entry, add);
        int[] lengths =
                updated.size() == entriesByPrefix.size() ? prefixLengths : updatePrefixLengths(updated, prefix, add);
        return new GlobIndex<>(valueOrder, matchAllEntries, entriesByLiteral, updated, lengths);
    }

    private int[] updatePrefixLengths(PersistentMap<String, List<Entry<T>>> updated, String prefix, boolean add) {
        int position = Arrays.binarySearch(prefixLengths, prefix.length());
        if (add) {
            return position >= 0 ? prefixLengths : insertPrefixLength(prefix.length(), -position - 1);
        }
        boolean stillUsed = updated.keySet().stream().anyMatch(otherPrefix -> otherPrefix.length() == prefix.length());
        return stillUsed
                ? prefixLengths
                : Arrays.stream(prefixLengths)
                        .filter(length -> length != prefix.length())
                        .toArray();
    }

    private int[] insertPrefixLength(int length, int position) {
        int[] lengths = new int[prefixLengths.length + 1];
        System.arraycopy(prefixLengths, 0, lengths, 0, position);
        lengths[position] = length;
        System.arraycopy(prefixLengths, position, lengths, position + 1, prefixLengths.length - position);
        return lengths;
    }

    private PersistentMap<String, List<Entry<T>>> update(
            PersistentMap<String, List<Entry<T>>> map, String key, Entry<T> entry, boolean add) {
        List<Entry<T>> entries = update(map.getOrDefault(key, List.of()), entry, add);
        return entries.isEmpty() ? map.without(key) : map.with(key, entries);
    }

    private List<Entry<T>> update(List<Entry<T>> entries, Entry<T> entry, boolean add) {
        if (!add) {
            return entries.stream().filter(other -> !other.equals(entry)).toList();
        }
        if (entries.isEmpty()) {
            return List.of(entry);
        }
        List<Entry<T>> updated = new ArrayList<>(entries);
        int position = Collections.binarySearch(updated, entry, Comparator.comparing(Entry::value, valueOrder));
        updated.add(position < 0 ? -position - 1 : position, entry);
        return List.copyOf(updated);
    }
}
