package org.cassiabank.once;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.List;
import org.cassiabank.membership.Instance;

/**
 * The lists of live proxies that a process used during the last handover time. An entry claims a key at the keepers
 * under each of them, because others may still use any of them.
 *
 * <p>Instances are thread-safe. Times must not go backwards.
 */
public final class ProxyListHistory {
    private final long windowMillis;
    private final Deque<Observed> lists = new ArrayDeque<>();

    /** A list and when it came into use. */
    private record Observed(List<Instance> proxies, long sinceMillis) {}

    private ProxyListHistory(long windowMillis) {
        this.windowMillis = windowMillis;
    }

    /**
     * Creates an empty history.
     *
     * @param spreadMillis the longest time that a list change takes to reach every proxy, in milliseconds
     * @param handoverMillis the longest time that a handover takes, in milliseconds
     * @return the history; its window is twice the spreading time, because a change may reach the keeper that repeats
     *     its handover late and the asking entry early, plus the time for that handover
     */
    public static ProxyListHistory create(long spreadMillis, long handoverMillis) {
        if (spreadMillis < 0 || handoverMillis < 0) {
            throw new IllegalArgumentException("times must not be negative");
        }
        return new ProxyListHistory(2 * spreadMillis + handoverMillis);
    }

    /**
     * Records that a list comes into use.
     *
     * @param proxies the live proxies of the region
     * @param nowMillis the time in milliseconds
     */
    public synchronized void observe(Collection<Instance> proxies, long nowMillis) {
        lists.addLast(new Observed(List.copyOf(proxies), nowMillis));
    }

    /**
     * Returns the lists that were in use during the window, the newest last.
     *
     * @param nowMillis the time in milliseconds
     * @return the lists; empty only if none was observed
     */
    public synchronized List<List<Instance>> recent(long nowMillis) {
        while (lists.size() > 1 && secondOldestSince() <= nowMillis - windowMillis) {
            lists.removeFirst();
        }
        return lists.stream().map(Observed::proxies).toList();
    }

    /**
     * Tells whether the history reaches back over the whole window. A process that has just started does not know the
     * lists that others used before, so it must not send unrepeatable requests with a key yet.
     *
     * @param nowMillis the time in milliseconds
     * @return true if the oldest list was in use when the window began
     */
    public synchronized boolean coversWindow(long nowMillis) {
        recent(nowMillis);
        return !lists.isEmpty() && lists.getFirst().sinceMillis() <= nowMillis - windowMillis;
    }

    private long secondOldestSince() {
        var iterator = lists.iterator();
        iterator.next();
        return iterator.next().sinceMillis();
    }
}
