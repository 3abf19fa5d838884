package org.cassiabank.once;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.List;
import org.cassiabank.membership.Instance;
import org.cassiabank.membership.RendezvousRanking;

/**
 * The lists of live proxies that a process used during the last handover time. An entry proxy claims a key at the
 * keepers under each of them, because others may still use any of them.
 *
 * <p>Instances are thread-safe. Times must not go backwards.
 */
public final class ProxyListHistory {
    private final long windowMillis;
    private final Deque<Observed> lists = new ArrayDeque<>();

    /** A list and when it came into use. */
    private record Observed(RendezvousRanking ranking, long sinceMillis) {}

    private ProxyListHistory(long windowMillis) {
        this.windowMillis = windowMillis;
    }

    /**
     * Creates an empty history.
     *
     * @param spreadMillis the longest time that a list change takes to reach every proxy, in milliseconds
     * @param handoverMillis the longest time that a handover takes, in milliseconds
     * @return the history; its window is twice the spreading time, because a change may reach the keeper that repeats
     *     its handover late and the asking entry proxy early, plus the time for that handover
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
        lists.addLast(new Observed(RendezvousRanking.of(proxies), nowMillis));
    }

    /**
     * Returns the different sets of keepers of a key, all of which a claim has to win.
     *
     * @param key the idempotency key
     * @param nowMillis the time in milliseconds
     * @return the sets without repetition, usually one, each with at most {@link ClaimQuorum#KEEPERS} proxies; empty
     *     only if no list was observed
     */
    public synchronized List<List<Instance>> keeperSets(String key, long nowMillis) {
        dropOutdated(nowMillis);
        return ClaimHandover.withoutRepetition(
                lists.stream().map(list -> list.ranking().selectAcrossDomains(key, ClaimQuorum.KEEPERS)));
    }

    /**
     * Tells whether a proxy is a keeper of a key under a recent list. A proxy that is not must not vote: the entry
     * proxy that asks has an outdated list.
     *
     * @param self the name of the proxy
     * @param key the idempotency key
     * @param nowMillis the time in milliseconds
     * @return true if it is a keeper
     */
    public boolean isKeeper(String self, String key, long nowMillis) {
        return keeperSets(key, nowMillis).stream().flatMap(List::stream).anyMatch(keeper -> keeper.name()
                .equals(self));
    }

    /**
     * Tells whether the history reaches back over the whole window. A process that has just started does not know the
     * lists that others used before, so it must not send unrepeatable requests with a key yet.
     *
     * @param nowMillis the time in milliseconds
     * @return true if the oldest list was in use when the window began
     */
    public synchronized boolean coversWindow(long nowMillis) {
        dropOutdated(nowMillis);
        return !lists.isEmpty() && lists.getFirst().sinceMillis() <= nowMillis - windowMillis;
    }

    private void dropOutdated(long nowMillis) {
        while (lists.size() > 1 && secondOldestSince() <= nowMillis - windowMillis) {
            lists.removeFirst();
        }
    }

    private long secondOldestSince() {
        var iterator = lists.iterator();
        iterator.next();
        return iterator.next().sinceMillis();
    }
}
