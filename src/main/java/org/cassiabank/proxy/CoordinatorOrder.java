package org.cassiabank.proxy;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.cassiabank.membership.Instance;
import org.cassiabank.membership.RendezvousRanking;

/**
 * Which proxies coordinate the quota of a customer, first choice first, and since when this daemon is the first one.
 */
final class CoordinatorOrder {
    private static final int CANDIDATES = 3;

    /** Longer than a lease: an earlier change can no longer have left leases of another coordinator. */
    private static final long HISTORY_MILLIS = 2_000;

    private final String selfName;
    private final Map<String, List<Instance>> candidatesByCustomer = new HashMap<>();
    private final Map<String, OptionalLong> firstSinceByCustomer = new HashMap<>();
    private final Deque<Former> history = new ArrayDeque<>();
    private List<Instance> proxies = List.of();
    private RendezvousRanking ranking = RendezvousRanking.of(List.of());
    private final long startMillis;

    /** A list of proxies that was replaced at a time. */
    private record Former(RendezvousRanking ranking, boolean empty, long replacedAtMillis) {}

    CoordinatorOrder(String selfName, long startMillis) {
        this.selfName = selfName;
        this.startMillis = startMillis;
    }

    /** Replaces the live proxies. */
    synchronized void update(List<Instance> liveProxies, long nowMillis) {
        if (liveProxies.equals(proxies)) {
            return;
        }
        history.addLast(new Former(ranking, proxies.isEmpty(), nowMillis));
        history.removeIf(former -> nowMillis - former.replacedAtMillis() > HISTORY_MILLIS);
        proxies = List.copyOf(liveProxies);
        ranking = RendezvousRanking.of(proxies);
        candidatesByCustomer.clear();
        firstSinceByCustomer.clear();
    }

    synchronized List<Instance> candidates(String customer) {
        return candidatesByCustomer.computeIfAbsent(
                customer, name -> ranking.selectAcrossDomains(key(name), Math.min(CANDIDATES, proxies.size())));
    }

    /** Returns since when this daemon is the first proxy of a customer, empty if it is not. */
    synchronized OptionalLong firstSince(String customer) {
        return firstSinceByCustomer.computeIfAbsent(customer, this::computeFirstSince);
    }

    private OptionalLong computeFirstSince(String customer) {
        if (proxies.isEmpty() || !isFirst(ranking, customer)) {
            return OptionalLong.empty();
        }
        long sinceMillis = startMillis;
        for (Former former : history) {
            if (former.empty() || !isFirst(former.ranking(), customer)) {
                sinceMillis = Math.max(sinceMillis, former.replacedAtMillis());
            }
        }
        return OptionalLong.of(sinceMillis);
    }

    private boolean isFirst(RendezvousRanking order, String customer) {
        return order.selectAcrossDomains(key(customer), 1).getFirst().name().equals(selfName);
    }

    private static String key(String customer) {
        return "quota/" + customer;
    }
}
