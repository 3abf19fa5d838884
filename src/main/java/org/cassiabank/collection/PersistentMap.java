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
 * An immutable map whose changed copies share all unchanged parts. It is a hash array mapped trie.
 *
 * <p>A change of one entry copies about four nodes when there are 360,000 entries, and the differences of two versions
 * are found without visiting the parts that they share. Keys and values are not null.
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
     * Receives the entries that differ between an earlier and a later map.
     *
     * @param <K> the type of the keys
     * @param <V> the type of the values
     */
    @FunctionalInterface
    public interface DifferenceVisitor<K, V> {

        /**
         * Receives one entry that differs.
         *
         * @param key the key
         * @param before the value in the earlier map, null if it is absent there
         * @param after the value in the later map, null if it is absent there
         */
        void visitDifference(K key, V before, V after);
    }

    /** A node of the trie; null stands for a trie without entries. */
    private sealed interface Node permits Leaf, Collision, Branch {}

    private static final class Leaf extends SimpleImmutableEntry<Object, Object> implements Node {
        private static final long serialVersionUID = 1L;

        Leaf(Object key, Object value) {
            super(key, value);
        }
    }

    /** Entries of different keys whose spread hash codes are equal. */
    private record Collision(int hash, List<Leaf> leaves) implements Node {}

    /** An inner node; bit n of the bitmap is set if there is a child for the value n of the hash bits of its level. */
    private record Branch(int bitmap, Node[] children) implements Node {
        /** Returns the index in the array for a child given by its bit in the bitmap. */
        int childIndex(int bit) {
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
     * Returns a map in which a key has the given value.
     *
     * @param key the key, not null
     * @param value the value, not null
     * @return the changed map; this one if the key already has the same object as its value
     */
    public PersistentMap<K, V> with(K key, V value) {
        V existing = get(key);
        if (existing == value) {
            return this;
        }
        return new PersistentMap<>(
                insert(root, 0, spreadHash(key), new Leaf(key, value)), existing == null ? size + 1 : size);
    }

    /**
     * Returns a map without a key.
     *
     * @param key the key, not null
     * @return the changed map; this one if the key is absent
     */
    public PersistentMap<K, V> without(K key) {
        return containsKey(key) ? new PersistentMap<>(remove(root, 0, spreadHash(key), key), size - 1) : this;
    }

    /**
     * Visits the entries that differ between this map and a later one. Parts that both share are not visited.
     *
     * @param later the later map
     * @param visitor receives the entries that only one map has and those whose values are not equal
     */
    public void forEachDifference(PersistentMap<K, V> later, DifferenceVisitor<K, V> visitor) {
        visitDifferences(root, later.root, visitor);
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
        int hash = spreadHash(key);
        Node node = root;
        for (int shift = 0; node instanceof Branch branch; shift += BITS_PER_LEVEL) {
            int bit = childBit(hash, shift);
            node = (branch.bitmap & bit) == 0 ? null : branch.children[branch.childIndex(bit)];
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

    /** Mixes the upper bits of the hash code into the lower ones, which select the children of the upper levels. */
    private static int spreadHash(Object key) {
        int hash = key.hashCode();
        return hash ^ (hash >>> 16);
    }

    /** Returns the bit of a hash in a branch's bitmap; the shift is the number of hash bits of the levels above. */
    private static int childBit(int hash, int shift) {
        return 1 << ((hash >>> shift) & LEVEL_MASK);
    }

    private static Node insert(Node node, int shift, int hash, Leaf addedLeaf) {
        return switch (node) {
            case null -> addedLeaf;
            case Leaf leaf -> {
                int existingHash = spreadHash(leaf.getKey());
                if (leaf.getKey().equals(addedLeaf.getKey())) {
                    yield addedLeaf;
                }
                yield existingHash == hash
                        ? new Collision(hash, List.of(leaf, addedLeaf))
                        : branchOf(shift, leaf, existingHash, addedLeaf, hash);
            }
            case Collision collision -> {
                if (collision.hash != hash) {
                    yield branchOf(shift, collision, collision.hash, addedLeaf, hash);
                }
                List<Leaf> leaves = new ArrayList<>(collision.leaves);
                leaves.removeIf(leaf -> leaf.getKey().equals(addedLeaf.getKey()));
                leaves.add(addedLeaf);
                yield new Collision(hash, List.copyOf(leaves));
            }
            case Branch branch -> {
                int bit = childBit(hash, shift);
                int childIndex = branch.childIndex(bit);
                if ((branch.bitmap & bit) != 0) {
                    Node[] children = branch.children.clone();
                    children[childIndex] = insert(children[childIndex], shift + BITS_PER_LEVEL, hash, addedLeaf);
                    yield new Branch(branch.bitmap, children);
                }
                Node[] children = new Node[branch.children.length + 1];
                System.arraycopy(branch.children, 0, children, 0, childIndex);
                children[childIndex] = addedLeaf;
                System.arraycopy(
                        branch.children, childIndex, children, childIndex + 1, branch.children.length - childIndex);
                yield new Branch(branch.bitmap | bit, children);
            }
        };
    }

    /** Creates a branch with two nodes of different hashes, and branches with one child while their bits are equal. */
    private static Node branchOf(int shift, Node first, int firstHash, Node second, int secondHash) {
        int firstBit = childBit(firstHash, shift);
        int secondBit = childBit(secondHash, shift);
        if (firstBit == secondBit) {
            Node child = branchOf(shift + BITS_PER_LEVEL, first, firstHash, second, secondHash);
            return new Branch(firstBit, new Node[] {child});
        }
        boolean isFirstLower = Integer.compareUnsigned(firstBit, secondBit) < 0;
        return new Branch(firstBit | secondBit, isFirstLower ? new Node[] {first, second} : new Node[] {second, first});
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
                int bit = childBit(hash, shift);
                int childIndex = branch.childIndex(bit);
                Node child = remove(branch.children[childIndex], shift + BITS_PER_LEVEL, hash, key);
                if (child == null) {
                    yield withoutChild(branch, bit, childIndex);
                }
                if (branch.children.length == 1 && !(child instanceof Branch)) {
                    yield child;
                }
                Node[] children = branch.children.clone();
                children[childIndex] = child;
                yield new Branch(branch.bitmap, children);
            }
        };
    }

    private static Node withoutChild(Branch branch, int bit, int childIndex) {
        int remainingChildren = branch.children.length - 1;
        if (remainingChildren == 0) {
            return null;
        }
        if (remainingChildren == 1 && !(branch.children[1 - childIndex] instanceof Branch)) {
            return branch.children[1 - childIndex];
        }
        Node[] children = new Node[remainingChildren];
        System.arraycopy(branch.children, 0, children, 0, childIndex);
        System.arraycopy(branch.children, childIndex + 1, children, childIndex, remainingChildren - childIndex);
        return new Branch(branch.bitmap & ~bit, children);
    }

    @SuppressWarnings("unchecked")
    private static <K, V> void visitDifferences(Node before, Node after, DifferenceVisitor<K, V> visitor) {
        if (before == after) {
            return;
        }
        if (before instanceof Branch branchBefore && after instanceof Branch branchAfter) {
            int remainingBits = branchBefore.bitmap | branchAfter.bitmap;
            while (remainingBits != 0) {
                int bit = Integer.lowestOneBit(remainingBits);
                remainingBits &= ~bit;
                visitDifferences(
                        (branchBefore.bitmap & bit) == 0 ? null : branchBefore.children[branchBefore.childIndex(bit)],
                        (branchAfter.bitmap & bit) == 0 ? null : branchAfter.children[branchAfter.childIndex(bit)],
                        visitor);
            }
            return;
        }
        Map<K, V> unmatchedBefore = new HashMap<>();
        new EntryIterator<K, V>(before)
                .forEachRemaining(entry -> unmatchedBefore.put(entry.getKey(), entry.getValue()));
        new EntryIterator<K, V>(after).forEachRemaining(entry -> {
            V valueBefore = unmatchedBefore.remove(entry.getKey());
            if (valueBefore == null || !valueBefore.equals(entry.getValue())) {
                visitor.visitDifference(entry.getKey(), valueBefore, entry.getValue());
            }
        });
        unmatchedBefore.forEach((key, value) -> visitor.visitDifference(key, value, null));
    }

    private static final class EntryIterator<K, V> implements Iterator<Map.Entry<K, V>> {
        private final Deque<Iterator<? extends Node>> openIterators = new ArrayDeque<>();
        private Leaf nextLeaf;

        EntryIterator(Node root) {
            if (root != null) {
                openIterators.push(List.of(root).iterator());
            }
            advance();
        }

        @Override
        public boolean hasNext() {
            return nextLeaf != null;
        }

        @Override
        @SuppressWarnings("unchecked")
        public Map.Entry<K, V> next() {
            if (nextLeaf == null) {
                throw new NoSuchElementException();
            }
            Leaf result = nextLeaf;
            advance();
            return (Map.Entry<K, V>) (Map.Entry<?, ?>) result;
        }

        private void advance() {
            nextLeaf = null;
            while (nextLeaf == null && !openIterators.isEmpty()) {
                if (!openIterators.peek().hasNext()) {
                    openIterators.pop();
                    continue;
                }
                switch (openIterators.peek().next()) {
                    case Leaf leaf -> nextLeaf = leaf;
                    case Collision collision -> openIterators.push(collision.leaves.iterator());
                    case Branch branch ->
                        openIterators.push(Arrays.asList(branch.children).iterator());
                }
            }
        }
    }
}
