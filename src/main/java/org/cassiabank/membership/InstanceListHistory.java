package org.cassiabank.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Keeps the current instance list and the names of the instances in its last changes, so that a peer that is a few
 * changes behind gets a difference instead of the complete list. The index of the current list never decreases.
 *
 * <p>Instances are thread-safe.
 */
public final class InstanceListHistory {
    /** About half an hour of replaced instances at the target size of the fleet. */
    private static final int MAXIMUM_CHANGES = 512;

    private final Deque<ListChange> changes = new ArrayDeque<>();
    private InstanceList current = InstanceList.empty();

    private InstanceListHistory() {}

    /**
     * Creates a history whose current list is empty.
     *
     * @return the history
     */
    public static InstanceListHistory create() {
        return new InstanceListHistory();
    }

    /**
     * Returns the current list.
     *
     * @return the list with the largest index so far
     */
    public synchronized InstanceList current() {
        return current;
    }

    /**
     * Installs a complete list if it is newer than the current one.
     *
     * @param list the list
     * @return true if the list is now current; false if its index is not larger than that of the current list
     */
    public synchronized boolean install(InstanceList list) {
        if (list.index() <= current.index()) {
            return false;
        }
        // A list made from the current one shares the unchanged instances with it.
        replaceCurrent(current.withDelta(list.differenceFrom(current)).orElse(list));
        return true;
    }

    /**
     * Applies a difference if it leads to a newer list. Its base may be older than the current list.
     *
     * @param delta the difference
     * @return true if the newer list is now current; false if the difference is not newer or does not match the current
     *     list, so that the complete list is needed
     */
    public synchronized boolean apply(InstanceListDelta delta) {
        if (delta.index() <= current.index() || delta.baseIndex() > current.index()) {
            return false;
        }
        Optional<InstanceList> next = current.withDelta(delta);
        next.ifPresent(this::replaceCurrent);
        return next.isPresent();
    }

    /**
     * Returns the difference between a peer's list and the current list.
     *
     * @param peerIndex the index of the peer's list
     * @return the difference, or empty if the peer's list is not older or is older than the recorded changes, so that
     *     the peer needs the complete list
     */
    public synchronized Optional<InstanceListDelta> deltaSince(long peerIndex) {
        boolean isCovered = peerIndex < current.index()
                && !changes.isEmpty()
                && changes.getFirst().fromIndex() <= peerIndex
                && changes.getFirst().fromIndex() > 0;
        if (!isCovered) {
            return Optional.empty();
        }
        Set<String> changedNames = new LinkedHashSet<>();
        for (ListChange change : changes) {
            if (change.toIndex() > peerIndex) {
                changedNames.addAll(change.names());
            }
        }
        List<Instance> changedInstances = new ArrayList<>();
        List<String> removedNames = new ArrayList<>();
        for (String name : changedNames) {
            current.find(name).ifPresentOrElse(changedInstances::add, () -> removedNames.add(name));
        }
        return Optional.of(
                new InstanceListDelta(peerIndex, current.index(), changedInstances, removedNames, current.digest()));
    }

    private void replaceCurrent(InstanceList next) {
        InstanceListDelta delta = next.differenceFrom(current);
        List<String> names = new ArrayList<>(delta.removed());
        delta.changed().forEach(instance -> names.add(instance.name()));
        changes.addLast(new ListChange(current.index(), next.index(), names));
        if (current.index() == 0 || changes.size() > MAXIMUM_CHANGES) {
            // The change from the empty list contains every instance, so a peer with an older list gets the complete
            // list.
            changes.removeFirst();
        }
        current = next;
    }

    /** The names of the instances that were added, replaced or removed between two indexes. */
    private record ListChange(long fromIndex, long toIndex, List<String> names) {}
}
