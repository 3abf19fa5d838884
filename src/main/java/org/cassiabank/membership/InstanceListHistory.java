package org.cassiabank.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Keeps the current instance list and which instances were touched by the last changes, so that a peer that is a little
 * behind gets a difference instead of the whole list. Never goes back to a smaller index.
 *
 * <p>Instances are safe for use by many threads.
 */
public final class InstanceListHistory {
    /** The number of changes kept; at the aimed size about half an hour of replaced instances. */
    private static final int KEPT_CHANGES = 512;

    private final Deque<Touched> steps = new ArrayDeque<>();
    private InstanceList current = InstanceList.empty();

    private InstanceListHistory() {}

    /**
     * Creates a history with the empty list.
     *
     * @return the history
     */
    public static InstanceListHistory create() {
        return new InstanceListHistory();
    }

    /**
     * Returns the list in force.
     *
     * @return the list with the largest index seen
     */
    public synchronized InstanceList current() {
        return current;
    }

    /**
     * Installs a whole list if it is newer.
     *
     * @param list the list
     * @return true if it is now in force
     */
    public synchronized boolean install(InstanceList list) {
        if (list.index() <= current.index()) {
            return false;
        }
        // Made from the list in force, the new one shares with it what did not change.
        remember(current.with(list.since(current)).orElse(list));
        return true;
    }

    /**
     * Applies a difference if it leads to a newer list. It may start at an older list than the one in force.
     *
     * @param delta the difference
     * @return true if the newer list is now in force; false if it is not newer or does not fit, and the whole list is
     *     needed
     */
    public synchronized boolean apply(InstanceListDelta delta) {
        if (delta.index() <= current.index() || delta.baseIndex() > current.index()) {
            return false;
        }
        Optional<InstanceList> next = current.with(delta);
        next.ifPresent(this::remember);
        return next.isPresent();
    }

    /**
     * Returns what a peer lacks.
     *
     * @param peerIndex the index of the peer's list
     * @return the difference, or empty if the peer has a newer list or needs the whole list
     */
    public synchronized Optional<InstanceListDelta> deltaSince(long peerIndex) {
        boolean known = peerIndex < current.index()
                && !steps.isEmpty()
                && steps.getFirst().fromIndex() <= peerIndex
                && steps.getFirst().fromIndex() > 0;
        if (!known) {
            return Optional.empty();
        }
        Set<String> touched = new LinkedHashSet<>();
        for (Touched step : steps) {
            if (step.toIndex() > peerIndex) {
                touched.addAll(step.names());
            }
        }
        List<Instance> changed = new ArrayList<>();
        List<String> removed = new ArrayList<>();
        for (String name : touched) {
            current.find(name).ifPresentOrElse(changed::add, () -> removed.add(name));
        }
        return Optional.of(new InstanceListDelta(peerIndex, current.index(), changed, removed, current.digest()));
    }

    private void remember(InstanceList next) {
        InstanceListDelta delta = next.since(current);
        List<String> names = new ArrayList<>(delta.removed());
        delta.changed().forEach(instance -> names.add(instance.name()));
        steps.addLast(new Touched(current.index(), next.index(), names));
        if (current.index() == 0 || steps.size() > KEPT_CHANGES) {
            // The step from the empty list touches everything, so a peer behind it gets the whole list.
            steps.removeFirst();
        }
        current = next;
    }

    /** The names of the instances that one change touched. */
    private record Touched(long fromIndex, long toIndex, List<String> names) {}
}
