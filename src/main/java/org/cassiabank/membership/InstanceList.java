package org.cassiabank.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import org.cassiabank.collection.PersistentMap;

/**
 * The platform's list of instances at one index. The list lags behind the actual state of the instances. Immutable.
 */
public final class InstanceList {
    private static final InstanceList EMPTY = new InstanceList(0, PersistentMap.empty(), 0);

    private final long index;
    private final PersistentMap<String, Instance> byName;
    private final long digest;

    private InstanceList(long index, PersistentMap<String, Instance> byName, long digest) {
        this.index = index;
        this.byName = byName;
        this.digest = digest;
    }

    /**
     * Returns the list that is current before the first response of the platform.
     *
     * @return the empty list with index 0
     */
    public static InstanceList empty() {
        return EMPTY;
    }

    /**
     * Creates a list of instances and computes its digest.
     *
     * @param index the index of the list, which grows with each change
     * @param instances the instances
     * @return the list
     * @throws IllegalArgumentException if two instances have the same name
     */
    public static InstanceList of(long index, Collection<Instance> instances) {
        PersistentMap<String, Instance> byName = PersistentMap.empty();
        long digest = 0;
        for (Instance instance : instances) {
            if (byName.containsKey(instance.name())) {
                throw new IllegalArgumentException("two instances are named " + instance.name());
            }
            byName = byName.with(instance.name(), instance);
            digest += digestOf(instance);
        }
        return new InstanceList(index, byName, digest);
    }

    /**
     * Returns the index.
     *
     * @return the index, 0 for the list before the first response of the platform
     */
    public long index() {
        return index;
    }

    /**
     * Returns all instances.
     *
     * @return the instances in an order that depends on their names only
     */
    public Collection<Instance> instances() {
        return byName.values();
    }

    /**
     * Returns a number that depends on every instance and not on their order, for comparing two lists.
     *
     * @return the digest
     */
    public long digest() {
        return digest;
    }

    /**
     * Returns the instances of one role, leaving ones included.
     *
     * @param role the role
     * @return the instances in an order that depends on their names only
     */
    public List<Instance> instancesWithRole(InstanceRole role) {
        return byName.values().stream()
                .filter(instance -> instance.role() == role)
                .toList();
    }

    /**
     * Finds an instance by its name.
     *
     * @param name the name
     * @return the instance, or empty if the list does not contain it
     */
    public Optional<Instance> find(String name) {
        return Optional.ofNullable(byName.get(Objects.requireNonNull(name, "name")));
    }

    /**
     * Returns the difference that turns an older list into this one.
     *
     * @param olderList the older list
     * @return the difference
     */
    public InstanceListDelta differenceFrom(InstanceList olderList) {
        List<Instance> changed = new ArrayList<>();
        List<String> removed = new ArrayList<>();
        forEachDifference(olderList, (name, before, after) -> {
            if (after == null) {
                removed.add(name);
            } else if (!after.equals(before)) {
                changed.add(after);
            }
        });
        return new InstanceListDelta(olderList.index, index, changed, removed, digest);
    }

    /**
     * Visits the instances that differ from an older list. A list that was made from another one by {@link #withDelta}
     * shares the unchanged instances with it, so that the time depends on the number of differences only.
     *
     * @param olderList the older list
     * @param visitor receives the name and both instances
     */
    public void forEachDifference(InstanceList olderList, PersistentMap.DifferenceVisitor<String, Instance> visitor) {
        olderList.byName.forEachDifference(byName, visitor);
    }

    /**
     * Applies a difference to this list.
     *
     * @param delta the difference
     * @return the newer list, or empty if the digest of the result differs from that of the difference, so that the
     *     complete list is needed
     */
    public Optional<InstanceList> withDelta(InstanceListDelta delta) {
        PersistentMap<String, Instance> nextByName = byName;
        long nextDigest = digest;
        for (String name : delta.removed()) {
            nextDigest -= digestOf(nextByName.get(name));
            nextByName = nextByName.without(name);
        }
        for (Instance instance : delta.changed()) {
            nextDigest += digestOf(instance) - digestOf(nextByName.get(instance.name()));
            nextByName = nextByName.with(instance.name(), instance);
        }
        return nextDigest == delta.digest()
                ? Optional.of(new InstanceList(delta.index(), nextByName, nextDigest))
                : Optional.empty();
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof InstanceList that && index == that.index && byName.equals(that.byName);
    }

    @Override
    public int hashCode() {
        return Objects.hash(index, digest);
    }

    @Override
    public String toString() {
        return "InstanceList[" + byName.size() + " instances at index " + index + "]";
    }

    private static long digestOf(Instance instance) {
        if (instance == null) {
            return 0;
        }
        // The order of an immutable map differs between processes, so the labels are sorted.
        String labels = new TreeMap<>(instance.labels()).toString();
        return RendezvousHash.hash(String.join(
                "|",
                instance.name(),
                instance.role().name(),
                instance.address(),
                instance.region(),
                instance.failureDomain(),
                instance.state().name(),
                labels,
                Integer.toString(instance.slots()),
                Long.toString(instance.incarnation())));
    }
}
