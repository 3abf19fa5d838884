package org.cassiabank.admission;

import java.util.TreeMap;

/**
 * Keeps count of what arrives and what is served by urgency, so that urgent work goes first without starving the rest.
 *
 * <p>It answers the load of a crest in which one service runs work of several ranks and cannot serve all of it: a rank
 * gets slots before a more urgent one only while it is served less than a third as often as all requests. Instances are
 * not thread-safe.
 */
final class UrgencyShares {
    /** Counts lose half of their weight in this time, a few waves of a crest. */
    private static final double HALF_LIFE_MILLIS = 5_000;
    /** The users count a kind of request as starved below a quarter of the usual share; a margin is added. */
    private static final double STARVED_SHARE = 1.0 / 3;
    /** Below this weight of arrivals a share says nothing. */
    private static final double SMALLEST_SAMPLE = 4;
    /** The part of the slots that less urgent work can count on, however much urgent work arrives. */
    private static final double LEAST_PART = 0.1;

    private final TreeMap<Integer, Rank> ranks = new TreeMap<>();
    private final Rank all = new Rank();
    private long updatedAt;

    /** Notes a request that asks for its first slot. */
    void recordArrival(int urgency, double costMicros, long nowMillis) {
        decayTo(nowMillis);
        ranks.computeIfAbsent(urgency, rank -> new Rank()).arrive(costMicros);
        all.arrive(costMicros);
    }

    /** Notes a request that got a slot. */
    void recordGrant(int urgency, long nowMillis) {
        decayTo(nowMillis);
        ranks.computeIfAbsent(urgency, rank -> new Rank()).granted++;
        all.granted++;
    }

    /**
     * Tells whether requests of a rank are served so much less often than all that they go before urgent ones.
     *
     * @param urgency the rank
     * @param nowMillis the time in milliseconds
     * @return false also while too little is known
     */
    boolean isStarved(int urgency, long nowMillis) {
        decayTo(nowMillis);
        Rank rank = ranks.get(urgency);
        return rank != null
                && rank.arrived >= SMALLEST_SAMPLE
                && rank.granted * all.arrived < STARVED_SHARE * all.granted * rank.arrived;
    }

    /**
     * Returns how many slots are left for a rank while more urgent work keeps arriving as it did.
     *
     * @param slots the slots that work of any rank may use
     * @param urgency the rank
     * @param nowMillis the time in milliseconds
     * @return a part of a slot at least
     */
    double slotsLeft(double slots, int urgency, long nowMillis) {
        decayTo(nowMillis);
        double micros = ranks.headMap(urgency).values().stream()
                .mapToDouble(rank -> rank.arrivedMicros)
                .sum();
        double meanAgeMillis = HALF_LIFE_MILLIS / Math.log(2);
        return Math.max(LEAST_PART * slots, slots - micros / 1_000 / meanAgeMillis);
    }

    private void decayTo(long nowMillis) {
        if (nowMillis > updatedAt) {
            double factor = Math.pow(0.5, (nowMillis - updatedAt) / HALF_LIFE_MILLIS);
            ranks.values().forEach(rank -> rank.decay(factor));
            all.decay(factor);
            updatedAt = nowMillis;
        }
    }

    /** Decaying counts of one rank. */
    private static final class Rank {
        private double arrived;
        private double arrivedMicros;
        private double granted;

        private void arrive(double costMicros) {
            arrived++;
            arrivedMicros += costMicros;
        }

        private void decay(double factor) {
            arrived *= factor;
            arrivedMicros *= factor;
            granted *= factor;
        }
    }
}
