package org.cassiabank.membership;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * The platform's list of instances at one index. The list lags behind the instances themselves. Immutable.
 */
public final class InstanceList {
    private static final InstanceList EMPTY = new InstanceList(0, Map.of(), 0);

    private final long index;
    private final Map<String, Instance> byName;
    private final long digest;

    private InstanceList(long index, Map<String, Instance> byName, long digest) {
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
        Map<String, Instance> byName = LinkedHashMap.newLinkedHashMap(instances.size());
        long digest = 0;
        for (Instance instance : instances) {
            if (byName.put(instance.name(), instance) != null) {
                throw new IllegalArgumentException("two instances are named " + instance.name());
            }
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
     * @return the instances in list order
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
     * @return the instances in list order
     */
    public List<Instance> withRole(InstanceRole role) {
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
        List<Instance> changed = byName.values().stream()
                .filter(instance -> !instance.equals(older.byName.get(instance.name())))
                .toList();
        List<String> removed = older.byName.keySet().stream()
                .filter(name -> !byName.containsKey(name))
                .toList();
        return new InstanceListDelta(older.index, index, changed, removed, digest);
    }

    /**
     * Applies a difference to this list.
     *
     * @param delta the difference
     * @return the newer list, or empty if the result is not the list that the difference was made from; the whole
     *     list is needed then
     */
    public Optional<InstanceList> with(InstanceListDelta delta) {
        Map<String, Instance> next = new LinkedHashMap<>(byName);
        long sum = digest;
        for (String name : delta.removed()) {
            sum -= digestOf(next.remove(name));
        }
        for (Instance instance : delta.changed()) {
            sum += digestOf(instance) - digestOf(next.put(instance.name(), instance));
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
        return instance == null ? 0 : RendezvousHash.hash(instance.toString());
    }
}
