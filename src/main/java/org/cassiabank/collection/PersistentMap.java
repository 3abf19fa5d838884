package org.cassiabank.collection;

import java.util.AbstractMap;
import java.util.AbstractSet;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.NoSuchElementException;
import java.util.Set;

/**
 * An immutable hash array mapped trie, whose changed copies share all unchanged parts.
 *
 * <p>A change of one entry copies about four nodes when there are 360,000 entries, and the differences of two versions
 * are found without visiting what they share.
 *
 * @param <K> the type of the keys
 * @param <V> the type of the values
 */
public final class PersistentMap<K, V> extends AbstractMap<K, V> {
    private static final int BITS_PER_LEVEL = 5;
    private static final int LEVEL_MASK = 31;
    private static final PersistentMap<?, ?> EMPTY = new PersistentMap<>(null, 0);

    private final Node root;
    private final int size;

    private PersistentMap(Node root, int size) {
        this.root = root;
        this.size = size;
    }

    /**
     * Receives the entries in which two maps differ.
     *
     * @param <K> the type of the keys
     * @param <V> the type of the values
     */
    @FunctionalInterface
    public interface DifferenceVisitor<K, V> {

        /**
         * Receives one entry.
         *
         * @param key the key
         * @param before the value in the earlier map, null if it is absent there
         * @param after the value in the later map, null if it is absent there
         */
        void differs(K key, V before, V after);
    }

    private sealed interface Node permits Leaf, Collision, Branch {}

    private static final class Leaf extends SimpleImmutableEntry<Object, Object> implements Node {
        private static final long serialVersionUID = 1L;

        Leaf(Object key, Object value) {
            super(key, value);
        }
    }

    private record Collision(int hash, List<Leaf> leaves) implements Node {}

    private record Branch(int bitmap, Node[] children) implements Node {
        int position(int bit) {
            return Integer.bitCount(bitmap & (bit - 1));
        }
    }

    /**
     * Returns the map without entries.
     *
     * @param <K> the type of the keys
     * @param <V> the type of the values
     * @return the empty map
     */
    @SuppressWarnings("unchecked")
    public static <K, V> PersistentMap<K, V> empty() {
        return (PersistentMap<K, V>) EMPTY;
    }

    /**
     * Returns a map that differs in the value of one key.
     *
     * @param key the key, not null
     * @param value the value, not null
     * @return the changed map; this one if it has the same object as the value already
     */
    public PersistentMap<K, V> with(K key, V value) {
        V present = get(key);
        if (present == value) {
            return this;
        }
        return new PersistentMap<>(
                insert(root, 0, spread(key), new Leaf(key, value)), present == null ? size + 1 : size);
    }

    /**
     * Returns a map without a key.
     *
     * @param key the key, not null
     * @return the changed map; this one if the key is absent
     */
    public PersistentMap<K, V> without(K key) {
        return containsKey(key) ? new PersistentMap<>(remove(root, 0, spread(key), key), size - 1) : this;
    }

    /**
     * Visits the entries that differ between this map and a later one. Parts that both share are not visited.
     *
     * @param later the later map
     * @param visitor receives the entries whose values are not the same object
     */
    public void forEachDifference(PersistentMap<K, V> later, DifferenceVisitor<K, V> visitor) {
        compare(root, later.root, visitor);
    }

    @Override
    public int size() {
        return size;
    }

    @Override
    public boolean containsKey(Object key) {
        return get(key) != null;
    }

    @Override
    @SuppressWarnings("unchecked")
    public V get(Object key) {
        int hash = spread(key);
        Node node = root;
        for (int shift = 0; node instanceof Branch branch; shift += BITS_PER_LEVEL) {
            int bit = bit(hash, shift);
            node = (branch.bitmap & bit) == 0 ? null : branch.children[branch.position(bit)];
        }
        if (node instanceof Leaf leaf) {
            return leaf.getKey().equals(key) ? (V) leaf.getValue() : null;
        }
        if (node instanceof Collision collision) {
            for (Leaf leaf : collision.leaves) {
                if (leaf.getKey().equals(key)) {
                    return (V) leaf.getValue();
                }
            }
        }
        return null;
    }

    @Override
    public Set<Map.Entry<K, V>> entrySet() {
        return new AbstractSet<>() {
            @Override
            public int size() {
                return size;
            }

            @Override
            public Iterator<Map.Entry<K, V>> iterator() {
                return new EntryIterator<>(root);
            }
        };
    }

    private static int spread(Object key) {
        int hash = key.hashCode();
        return hash ^ (hash >>> 16);
    }

    private static int bit(int hash, int shift) {
        return 1 << ((hash >>> shift) & LEVEL_MASK);
    }

    private static Node insert(Node node, int shift, int hash, Leaf added) {
        return switch (node) {
            case null -> added;
            case Leaf leaf -> {
                int present = spread(leaf.getKey());
                if (leaf.getKey().equals(added.getKey())) {
                    yield added;
                }
                yield present == hash
                        ? new Collision(hash, List.of(leaf, added))
                        : split(shift, leaf, present, added, hash);
            }
            case Collision collision -> {
                if (collision.hash != hash) {
                    yield split(shift, collision, collision.hash, added, hash);
                }
                List<Leaf> leaves = new ArrayList<>(collision.leaves);
                leaves.removeIf(leaf -> leaf.getKey().equals(added.getKey()));
                leaves.add(added);
                yield new Collision(hash, List.copyOf(leaves));
            }
            case Branch branch -> {
                int bit = bit(hash, shift);
                int position = branch.position(bit);
                if ((branch.bitmap & bit) != 0) {
                    Node[] children = branch.children.clone();
                    children[position] = insert(children[position], shift + BITS_PER_LEVEL, hash, added);
                    yield new Branch(branch.bitmap, children);
                }
                Node[] children = new Node[branch.children.length + 1];
                System.arraycopy(branch.children, 0, children, 0, position);
                children[position] = added;
                System.arraycopy(branch.children, position, children, position + 1, branch.children.length - position);
                yield new Branch(branch.bitmap | bit, children);
            }
        };
    }

    private static Node split(int shift, Node first, int firstHash, Node second, int secondHash) {
        int firstBit = bit(firstHash, shift);
        int secondBit = bit(secondHash, shift);
        if (firstBit == secondBit) {
            Node child = split(shift + BITS_PER_LEVEL, first, firstHash, second, secondHash);
            return new Branch(firstBit, new Node[] {child});
        }
        boolean ordered = Integer.compareUnsigned(firstBit, secondBit) < 0;
        return new Branch(firstBit | secondBit, ordered ? new Node[] {first, second} : new Node[] {second, first});
    }

    private static Node remove(Node node, int shift, int hash, Object key) {
        return switch (node) {
            case Leaf leaf -> null;
            case Collision collision -> {
                List<Leaf> leaves = collision.leaves.stream()
                        .filter(leaf -> !leaf.getKey().equals(key))
                        .toList();
                yield leaves.size() == 1 ? leaves.getFirst() : new Collision(hash, leaves);
            }
            case Branch branch -> {
                int bit = bit(hash, shift);
                int position = branch.position(bit);
                Node child = remove(branch.children[position], shift + BITS_PER_LEVEL, hash, key);
                if (child == null) {
                    yield withoutChild(branch, bit, position);
                }
                if (branch.children.length == 1 && !(child instanceof Branch)) {
                    yield child;
                }
                Node[] children = branch.children.clone();
                children[position] = child;
                yield new Branch(branch.bitmap, children);
            }
        };
    }

    private static Node withoutChild(Branch branch, int bit, int position) {
        int remaining = branch.children.length - 1;
        if (remaining == 0) {
            return null;
        }
        if (remaining == 1 && !(branch.children[1 - position] instanceof Branch)) {
            return branch.children[1 - position];
        }
        Node[] children = new Node[remaining];
        System.arraycopy(branch.children, 0, children, 0, position);
        System.arraycopy(branch.children, position + 1, children, position, remaining - position);
        return new Branch(branch.bitmap & ~bit, children);
    }

    @SuppressWarnings("unchecked")
    private static <K, V> void compare(Node before, Node after, DifferenceVisitor<K, V> visitor) {
        if (before == after) {
            return;
        }
        if (before instanceof Branch left && after instanceof Branch right) {
            int bits = left.bitmap | right.bitmap;
            while (bits != 0) {
                int bit = Integer.lowestOneBit(bits);
                bits &= ~bit;
                compare(
                        (left.bitmap & bit) == 0 ? null : left.children[left.position(bit)],
                        (right.bitmap & bit) == 0 ? null : right.children[right.position(bit)],
                        visitor);
            }
            return;
        }
        Map<K, V> removed = new HashMap<>();
        new EntryIterator<K, V>(before).forEachRemaining(entry -> removed.put(entry.getKey(), entry.getValue()));
        new EntryIterator<K, V>(after).forEachRemaining(entry -> {
            V previous = removed.remove(entry.getKey());
            if (previous == null || !previous.equals(entry.getValue())) {
                visitor.differs(entry.getKey(), previous, entry.getValue());
            }
        });
        removed.forEach((key, value) -> visitor.differs(key, value, null));
    }

    private static final class EntryIterator<K, V> implements Iterator<Map.Entry<K, V>> {
        private final Deque<Iterator<? extends Node>> open = new ArrayDeque<>();
        private Leaf next;

        EntryIterator(Node root) {
            if (root != null) {
                open.push(List.of(root).iterator());
            }
            advance();
        }

        @Override
        public boolean hasNext() {
            return next != null;
        }

        @Override
        @SuppressWarnings("unchecked")
        public Map.Entry<K, V> next() {
            if (next == null) {
                throw new NoSuchElementException();
            }
            Leaf result = next;
            advance();
            return (Map.Entry<K, V>) (Map.Entry<?, ?>) result;
        }

        private void advance() {
            next = null;
            while (next == null && !open.isEmpty()) {
                if (!open.peek().hasNext()) {
                    open.pop();
                    continue;
                }
                switch (open.peek().next()) {
                    case Leaf leaf -> next = leaf;
                    case Collision collision -> open.push(collision.leaves.iterator());
                    case Branch branch ->
                        open.push(Arrays.asList(branch.children).iterator());
                }
            }
        }
    }
}
