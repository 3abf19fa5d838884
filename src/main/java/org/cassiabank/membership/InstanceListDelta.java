package org.cassiabank.membership;

import java.util.List;

/**
 * The difference between two instance lists.
 *
 * @param baseIndex the index of the older list
 * @param index the index of the newer list
 * @param changed the instances that are new or different in the newer list
 * @param removed the names of the instances of the older list that the newer one does not contain
 * @param digest the digest of the newer list, see {@link InstanceList#digest}
 */
public record InstanceListDelta(long baseIndex, long index, List<Instance> changed, List<String> removed, long digest) {

    /**
     * Copies the lists and checks the indexes.
     *
     * @throws IllegalArgumentException if the index of the newer list is smaller than that of the older one
     */
    public InstanceListDelta {
        changed = List.copyOf(changed);
        removed = List.copyOf(removed);
        if (baseIndex > index) {
            throw new IllegalArgumentException("index of difference decreases from " + baseIndex + " to " + index);
        }
    }
}
