package org.cassiabank.admission;

import java.util.TreeMap;

/**
 * Counts arrived and served requests by urgency rank, so that urgent work is served first without starving the rest.
 *
 * <p>The counts matter at load peaks in which one service gets work of several ranks and cannot serve all of it: a rank
 * gets slots before a more urgent one only while the served share of its requests is less than a third of the served
 * share of all requests. Instances are not thread-safe.
 */
final class UrgencyShares {
    /** Counts halve in this time, which covers a few load waves of a peak. */
    private static final double COUNT_HALF_LIFE_MILLIS = 5_000;

    /** Users consider a kind of request starved below a quarter of the served share of all; a third adds a margin. */
    private static final double STARVED_SHARE = 1.0 / 3;

    /** The decayed number of arrivals below which a served share is not significant. */
    private static final double MINIMUM_ARRIVED_REQUESTS = 4;

    /** The share of the slots that is assumed for less urgent work, however much urgent work arrives. */
    private static final double MINIMUM_SLOT_SHARE = 0.1;

    /**
     * A rank is forgotten when its decayed arrivals fall below this, about 33 s after a single request. Each decision
     * visits all ranks, and there may be as many as pairs of the urgencies of customers and selectors.
     */
    private static final double FORGOTTEN_ARRIVALS = 0.01;

    private final TreeMap<Integer, RequestCounts> countsByRank = new TreeMap<>();
    private final RequestCounts totalCounts = new RequestCounts();
    private long updatedAtMillis;

    /** Returns the number of ranks that decisions visit. */
    int countedRanks() {
        return countsByRank.size();
    }

    /** Records a request for a slot. */
    void recordArrival(int urgencyRank, double costMicros, long nowMillis) {
        decayTo(nowMillis);
        countsByRank.computeIfAbsent(urgencyRank, rank -> new RequestCounts()).recordArrival(costMicros);
        totalCounts.recordArrival(costMicros);
    }

    /** Records a request that was granted a slot. */
    void recordGrant(int urgencyRank, long nowMillis) {
        decayTo(nowMillis);
        countsByRank.computeIfAbsent(urgencyRank, rank -> new RequestCounts()).grantedRequests++;
        totalCounts.grantedRequests++;
    }

    /**
     * Tells whether the served share of a rank is so low that its requests are served before more urgent ones.
     *
     * @param urgencyRank the rank; 0 is the most urgent
     * @param nowMillis the current time in milliseconds
     * @return true if the rank is starved; false also while it has too few arrivals
     */
    boolean isStarved(int urgencyRank, long nowMillis) {
        decayTo(nowMillis);
        RequestCounts counts = countsByRank.get(urgencyRank);
        return counts != null
                && counts.arrivedRequests >= MINIMUM_ARRIVED_REQUESTS
                && counts.grantedRequests * totalCounts.arrivedRequests
                        < STARVED_SHARE * totalCounts.grantedRequests * counts.arrivedRequests;
    }

    /**
     * Estimates how many slots are available to a rank if more urgent work continues to arrive at its recent rate.
     *
     * @param slots the slots that work of any rank may use
     * @param urgencyRank the rank; 0 is the most urgent
     * @param nowMillis the current time in milliseconds
     * @return the number of slots, a fraction included; at least 10% of {@code slots}
     */
    double availableSlots(double slots, int urgencyRank, long nowMillis) {
        decayTo(nowMillis);
        double moreUrgentMicros = countsByRank.headMap(urgencyRank).values().stream()
                .mapToDouble(counts -> counts.arrivedMicros)
                .sum();
        double meanAgeMillis = COUNT_HALF_LIFE_MILLIS / Math.log(2);
        return Math.max(MINIMUM_SLOT_SHARE * slots, slots - moreUrgentMicros / 1_000 / meanAgeMillis);
    }

    /** Compares by urgency unless the less urgent work is starved, then by virtual time, then by arrival. */
    boolean precedes(Lane lane, Lane other, long nowMillis) {
        int urgencyRank = lane.key().urgencyRank();
        int otherUrgencyRank = other.key().urgencyRank();
        if (urgencyRank != otherUrgencyRank) {
            boolean starved = isStarved(Math.max(urgencyRank, otherUrgencyRank), nowMillis);
            return starved == urgencyRank > otherUrgencyRank;
        }
        // Requests of one customer have the same virtual time in all lanes; without the comparison by arrival one of
        // these lanes could starve.
        int order = Double.compare(lane.firstVirtualTimeMicros(), other.firstVirtualTimeMicros());
        return order < 0
                || order == 0 && lane.firstTicket().id() < other.firstTicket().id();
    }

    private void decayTo(long nowMillis) {
        if (nowMillis > updatedAtMillis) {
            double factor = Math.pow(0.5, (nowMillis - updatedAtMillis) / COUNT_HALF_LIFE_MILLIS);
            countsByRank.values().forEach(counts -> counts.decay(factor));
            countsByRank.values().removeIf(counts -> counts.arrivedRequests < FORGOTTEN_ARRIVALS);
            totalCounts.decay(factor);
            updatedAtMillis = nowMillis;
        }
    }

    /** Exponentially decaying counts of the requests of one rank, or of all ranks. */
    private static final class RequestCounts {
        private double arrivedRequests;
        private double arrivedMicros;
        private double grantedRequests;

        private void recordArrival(double costMicros) {
            arrivedRequests++;
            arrivedMicros += costMicros;
        }

        private void decay(double factor) {
            arrivedRequests *= factor;
            arrivedMicros *= factor;
            grantedRequests *= factor;
        }
    }
}
