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
 * <p>Literal patterns are found by hash, others by the hash of their literal prefix, for each length of prefix that
 * occurs. Only patterns with the same literal prefix are tried one after the other.
 *
 * @param <T> the type of the values
 */
final class GlobIndex<T> {
    private static final GlobPattern EVERYTHING = new GlobPattern("*");

    private final Comparator<? super T> order;
    private final List<Entry<T>> everything;
    private final PersistentMap<String, List<Entry<T>>> literal;
    private final PersistentMap<String, List<Entry<T>>> byPrefix;
    private final int[] prefixLengths;

    private GlobIndex(
            Comparator<? super T> order,
            List<Entry<T>> everything,
            PersistentMap<String, List<Entry<T>>> literal,
            PersistentMap<String, List<Entry<T>>> byPrefix,
            int[] prefixLengths) {
        this.order = order;
        this.everything = everything;
        this.literal = literal;
        this.byPrefix = byPrefix;
        this.prefixLengths = prefixLengths;
    }

    /** A value with its pattern. */
    record Entry<T>(GlobPattern pattern, T value) {}

    /**
     * Creates an empty index.
     *
     * @param order the order of the values in the lists that are visited
     */
    static <T> GlobIndex<T> empty(Comparator<? super T> order) {
        return new GlobIndex<>(order, List.of(), PersistentMap.empty(), PersistentMap.empty(), new int[0]);
    }

    boolean isEmpty() {
        return everything.isEmpty() && literal.isEmpty() && byPrefix.isEmpty();
    }

    GlobIndex<T> with(String pattern, T value) {
        return replace(pattern, value, true);
    }

    GlobIndex<T> without(String pattern, T value) {
        return replace(pattern, value, false);
    }

    /**
     * Visits lists of entries that together contain all matching ones. Each list is in order; entries that do not
     * match can be among them.
     */
    void forEachList(String text, Consumer<List<Entry<T>>> visitor) {
        visit(text, literal.get(text), visitor);
    }

    /** Visits lists of entries that together contain all whose pattern covers the given one. */
    void forEachCoveringList(GlobPattern pattern, Consumer<List<Entry<T>>> visitor) {
        String prefix = pattern.literalPrefix();
        visit(prefix, pattern.isLiteral() ? literal.get(prefix) : null, visitor);
    }

    private void visit(String text, List<Entry<T>> exact, Consumer<List<Entry<T>>> visitor) {
        if (!everything.isEmpty()) {
            visitor.accept(everything);
        }
        if (exact != null) {
            visitor.accept(exact);
        }
        for (int length : prefixLengths) {
            if (length > text.length()) {
                break;
            }
            List<Entry<T>> entries = byPrefix.get(text.substring(0, length));
            if (entries != null) {
                visitor.accept(entries);
            }
        }
    }

    private GlobIndex<T> replace(String text, T value, boolean present) {
        if (text.equals(EVERYTHING.text())) {
            List<Entry<T>> entries = replace(everything, new Entry<>(EVERYTHING, value), present);
            return new GlobIndex<>(order, entries, literal, byPrefix, prefixLengths);
        }
        GlobPattern pattern = new GlobPattern(text);
        Entry<T> entry = new Entry<>(pattern, value);
        if (pattern.isLiteral()) {
            return new GlobIndex<>(order, everything, replace(literal, text, entry, present), byPrefix, prefixLengths);
        }
        String prefix = pattern.literalPrefix();
        PersistentMap<String, List<Entry<T>>> changed = replace(byPrefix, prefix, entry, present);
        int[] lengths = changed.size() == byPrefix.size() ? prefixLengths : lengthsOf(changed, prefix, present);
        return new GlobIndex<>(order, everything, literal, changed, lengths);
    }

    private int[] lengthsOf(PersistentMap<String, List<Entry<T>>> changed, String prefix, boolean added) {
        int position = Arrays.binarySearch(prefixLengths, prefix.length());
        if (added) {
            return position >= 0 ? prefixLengths : insert(prefix.length(), -position - 1);
        }
        boolean used = changed.keySet().stream().anyMatch(other -> other.length() == prefix.length());
        return used
                ? prefixLengths
                : Arrays.stream(prefixLengths)
                        .filter(length -> length != prefix.length())
                        .toArray();
    }

    private int[] insert(int length, int position) {
        int[] lengths = new int[prefixLengths.length + 1];
        System.arraycopy(prefixLengths, 0, lengths, 0, position);
        lengths[position] = length;
        System.arraycopy(prefixLengths, position, lengths, position + 1, prefixLengths.length - position);
        return lengths;
    }

    private PersistentMap<String, List<Entry<T>>> replace(
            PersistentMap<String, List<Entry<T>>> map, String key, Entry<T> entry, boolean present) {
        List<Entry<T>> entries = replace(map.getOrDefault(key, List.of()), entry, present);
        return entries.isEmpty() ? map.without(key) : map.with(key, entries);
    }

    private List<Entry<T>> replace(List<Entry<T>> entries, Entry<T> entry, boolean present) {
        if (!present) {
            return entries.stream().filter(other -> !other.equals(entry)).toList();
        }
        if (entries.isEmpty()) {
            return List.of(entry);
        }
        List<Entry<T>> changed = new ArrayList<>(entries);
        int position = Collections.binarySearch(changed, entry, Comparator.comparing(Entry::value, order));
        changed.add(position < 0 ? -position - 1 : position, entry);
        return List.copyOf(changed);
    }
}
