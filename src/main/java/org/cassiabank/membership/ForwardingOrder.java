package org.cassiabank.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.random.RandomGenerator;

/**
 * Chooses the peers to which a proxy that reaches no backend server passes requests on: first those that served some
 * lately, then those of its own failure domain, whose messages stay inside the domain; equal ones in random order, so
 * that several proxies spread their requests. Peers that declined lately come last. Instances are not thread-safe. All
 * times must come from one monotonic clock.
 */
public final class ForwardingOrder {
    private static final long ACCEPTANCE_VALIDITY_MILLIS = 10_000;
    private static final long REFUSAL_VALIDITY_MILLIS = 2_000;

    private final String failureDomain;
    private final Map<String, Long> acceptedAtMillisByPeer = new HashMap<>();
    private final Map<String, Long> declinedAtMillisByPeer = new HashMap<>();

    private ForwardingOrder(String failureDomain) {
        this.failureDomain = failureDomain;
    }

    /**
     * Creates an order without knowledge of any peer.
     *
     * @param failureDomain the failure domain of the proxy
     * @return the order
     */
    public static ForwardingOrder create(String failureDomain) {
        return new ForwardingOrder(Objects.requireNonNull(failureDomain, "failureDomain"));
    }

    /**
     * Records that a peer carried out a request.
     *
     * @param peer the name of the peer
     * @param nowMillis the time in milliseconds
     */
    public void recordAccepted(String peer, long nowMillis) {
        declinedAtMillisByPeer.remove(peer);
        acceptedAtMillisByPeer.put(peer, nowMillis);
    }

    /**
     * Records that a peer took no request or did not reply.
     *
     * @param peer the name of the peer
     * @param nowMillis the time in milliseconds
     */
    public void recordDeclined(String peer, long nowMillis) {
        acceptedAtMillisByPeer.remove(peer);
        declinedAtMillisByPeer.put(peer, nowMillis);
    }

    /**
     * Returns peers in the order in which they should be asked.
     *
     * @param peers the peers that may be asked
     * @param nowMillis the time in milliseconds
     * @param random the source of random numbers
     * @return all of the peers
     */
    public List<Instance> order(List<Instance> peers, long nowMillis, RandomGenerator random) {
        acceptedAtMillisByPeer.values().removeIf(atMillis -> nowMillis - atMillis > ACCEPTANCE_VALIDITY_MILLIS);
        declinedAtMillisByPeer.values().removeIf(atMillis -> nowMillis - atMillis > REFUSAL_VALIDITY_MILLIS);
        List<Instance> ordered = new ArrayList<>(peers);
        Collections.shuffle(ordered, Random.from(random));
        // The sort is stable and keeps the random order of equal peers.
        ordered.sort(Comparator.comparingInt(this::rank));
        return List.copyOf(ordered);
    }

    private int rank(Instance peer) {
        boolean sameDomain = peer.failureDomain().equals(failureDomain);
        if (declinedAtMillisByPeer.containsKey(peer.name())) {
            return 4;
        }
        if (acceptedAtMillisByPeer.containsKey(peer.name())) {
            return sameDomain ? 0 : 1;
        }
        return sameDomain ? 2 : 3;
    }
}
