package org.cassiabank.membership;

import java.util.List;
import java.util.Optional;

/**
 * The platform's list of instances at one index. The list lags behind the instances themselves.
 *
 * @param index the index of the list, which grows with each change
 * @param instances the instances
 */
public record InstanceList(long index, List<Instance> instances) {
    private static final InstanceList EMPTY = new InstanceList(0, List.of());

    /**
     * Copies the instances.
     */
    public InstanceList {
        instances = List.copyOf(instances);
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
     * Returns the instances of one role, leaving ones included.
     *
     * @param role the role
     * @return the instances in list order
     */
    public List<Instance> withRole(InstanceRole role) {
        return instances.stream().filter(instance -> instance.role() == role).toList();
    }

    /**
     * Finds an instance by its name.
     *
     * @param name the name
     * @return the instance, or empty if the list does not have it
     */
    public Optional<Instance> find(String name) {
        return instances.stream()
                .filter(instance -> instance.name().equals(name))
                .findFirst();
    }
}
