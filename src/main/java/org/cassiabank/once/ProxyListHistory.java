package org.cassiabank.once;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.List;
import org.cassiabank.membership.Instance;
import org.cassiabank.membership.RendezvousRanking;

/**
 * The lists of live proxies that a process used during a window of time up to now. An entry proxy claims a key at the
 * keepers under each of them, because other entry proxies may still use any of them.
 *
 * <p>Instances are thread-safe. Times must not go backwards.
 */
public final class ProxyListHistory {
    private final long windowMillis;
    private final Deque<ObservedList> lists = new ArrayDeque<>();

    /** A list of proxies and the time in milliseconds at which it came into use. */
    private record ObservedList(RendezvousRanking ranking, long sinceMillis) {}

    private ProxyListHistory(long windowMillis) {
        this.windowMillis = windowMillis;
    }

    /**
     * Creates an empty history.
     *
     * @param propagationMillis the longest time that a list change takes to reach every proxy, in milliseconds
     * @param handoverMillis the longest time that a handover takes, in milliseconds
     * @return the history; its window is twice the propagation time, because a change may reach the keeper that repeats
     *     its handover late and the asking entry proxy early, plus the time for that handover
     * @throws IllegalArgumentException if a time is negative
     */
    public static ProxyListHistory create(long propagationMillis, long handoverMillis) {
        if (propagationMillis < 0 || handoverMillis < 0) {
            throw new IllegalArgumentException("times must not be negative");
        }
        return new ProxyListHistory(2 * propagationMillis + handoverMillis);
    }

    /**
     * Records that a list comes into use.
     *
     * @param proxies the live proxies of the region
     * @param nowMillis the current time in milliseconds
     */
    public synchronized void observe(Collection<Instance> proxies, long nowMillis) {
        lists.addLast(new ObservedList(RendezvousRanking.of(proxies), nowMillis));
    }

    /**
     * Returns the different sets of keepers of a key, in each of which a claim needs a quorum.
     *
     * @param key the idempotency key
     * @param nowMillis the current time in milliseconds
     * @return the sets without repetition, usually one, each with at most {@link ClaimQuorum#KEEPERS} proxies; empty
     *     only if no list was observed
     */
    public synchronized List<List<Instance>> keeperSets(String key, long nowMillis) {
        removeOutdated(nowMillis);
        return ClaimHandover.distinctKeeperSets(
                lists.stream().map(list -> list.ranking().selectAcrossDomains(key, ClaimQuorum.KEEPERS)));
    }

    /**
     * Tells whether a proxy is a keeper of a key under a list in the window. A proxy that is not must not vote, because
     * the entry proxy that asks has an outdated list.
     *
     * @param proxyName the name of the proxy
     * @param key the idempotency key
     * @param nowMillis the current time in milliseconds
     * @return true if it is a keeper
     */
    public boolean isKeeper(String proxyName, String key, long nowMillis) {
        return keeperSets(key, nowMillis).stream().flatMap(List::stream).anyMatch(keeper -> keeper.name()
                .equals(proxyName));
    }

    /**
     * Tells whether the history reaches back over the whole window. A process that has just started does not have the
     * lists that others used before, so it must not send unrepeatable requests with a key yet.
     *
     * @param nowMillis the current time in milliseconds
     * @return true if the oldest list was in use when the window began
     */
    public synchronized boolean coversWindow(long nowMillis) {
        removeOutdated(nowMillis);
        return !lists.isEmpty() && lists.getFirst().sinceMillis() <= nowMillis - windowMillis;
    }

    /** Removes the lists that were replaced before the window began. */
    private void removeOutdated(long nowMillis) {
        while (lists.size() > 1 && secondOldestSinceMillis() <= nowMillis - windowMillis) {
            lists.removeFirst();
        }
    }

    private long secondOldestSinceMillis() {
        var iterator = lists.iterator();
        iterator.next();
        return iterator.next().sinceMillis();
    }
}
