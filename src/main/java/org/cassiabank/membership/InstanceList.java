package org.cassiabank.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import org.cassiabank.collection.PersistentMap;

/**
 * The platform's list of instances at one index. The list lags behind the instances themselves. Immutable.
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
     * Returns the list that is in force before the platform has answered.
     *
     * @return the empty list with index 0
     */
    public static InstanceList empty() {
        return EMPTY;
    }

    /**
     * Creates a list.
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
     * @return the index, 0 for the list before the platform has answered
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
     * Returns a number that depends on every instance and not on their order, to find out whether two lists are the
     * same.
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
     * @return the instance, or empty if the list does not have it
     */
    public Optional<Instance> find(String name) {
        return Optional.ofNullable(byName.get(Objects.requireNonNull(name, "name")));
    }

    /**
     * Returns what has to change in an older list to get this one.
     *
     * @param older the older list
     * @return the difference
     */
    public InstanceListDelta since(InstanceList older) {
        List<Instance> changed = new ArrayList<>();
        List<String> removed = new ArrayList<>();
        forEachDifference(older, (name, before, after) -> {
            if (after == null) {
                removed.add(name);
            } else if (!after.equals(before)) {
                changed.add(after);
            }
        });
        return new InstanceListDelta(older.index, index, changed, removed, digest);
    }

    /**
     * Visits the instances that differ from an older list. Two lists of which one was made from the other by
     * {@link #with} share what they have in common, so that only the differences cost time.
     *
     * @param older the older list
     * @param visitor receives the name and both instances
     */
    public void forEachDifference(InstanceList older, PersistentMap.DifferenceVisitor<String, Instance> visitor) {
        older.byName.forEachDifference(byName, visitor);
    }

    /**
     * Applies a difference to this list.
     *
     * @param delta the difference
     * @return the newer list, or empty if the result is not the list that the difference was made from; the whole
     *     list is needed then
     */
    public Optional<InstanceList> with(InstanceListDelta delta) {
        PersistentMap<String, Instance> next = byName;
        long sum = digest;
        for (String name : delta.removed()) {
            sum -= digestOf(next.get(name));
            next = next.without(name);
        }
        for (Instance instance : delta.changed()) {
            sum += digestOf(instance) - digestOf(next.get(instance.name()));
            next = next.with(instance.name(), instance);
        }
        return sum == delta.digest() ? Optional.of(new InstanceList(delta.index(), next, sum)) : Optional.empty();
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
