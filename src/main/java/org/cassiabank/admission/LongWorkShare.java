package org.cassiabank.admission;

/**
 * Decides how many slots long work may hold. The reserve for short work follows the short demand, and long work gains
 * slots while it waits.
 */
final class LongWorkShare {
    private static final double FAST_MILLIS = 500;
    private static final double SLOW_MILLIS = 5000;
    /**
     * Slots kept free for short work in units of the square root of its demand. With 3 and one more slot, short work of
     * random arrivals finds no free slot in less than 1 of 250 cases at any demand (Erlang C).
     */
    private static final double RESERVE_DEVIATIONS = 3;
    /** What is kept for short work when long work is aged; 1.4% to 1.8% of 270 short requests/s then wait. */
    private static final double AGED_RESERVE_DEVIATIONS = 2.5;

    private final double share;
    private final long ageingMillis;
    private double fastMicros;
    private double slowMicros;
    private long updatedAt;
    private long measuredSince = Long.MIN_VALUE;

    LongWorkShare(SchedulerSettings settings) {
        this.share = settings.longShare();
        this.ageingMillis = settings.ageingMillis();
    }

    void recordShortArrival(double costMicros, long nowMillis) {
        if (measuredSince == Long.MIN_VALUE) {
            measuredSince = nowMillis;
            updatedAt = nowMillis;
        }
        decayTo(nowMillis);
        fastMicros += costMicros;
        slowMicros += costMicros;
    }

    /** Returns the number of slots that short work keeps busy: the higher of a fast and a slow average. */
    double shortDemand(long nowMillis) {
        decayTo(nowMillis);
        return Math.max(fastMicros / FAST_MILLIS, slowMicros / SLOW_MILLIS) / 1000;
    }

    /**
     * Returns how many slots long work may hold while no short work is queued.
     *
     * @param totalSlots the usable slots of the service
     * @param waitMillis how long the oldest queued long request has waited
     */
    int limit(int totalSlots, long waitMillis, long nowMillis) {
        int initial = initialLimit(totalSlots);
        double demand = shortDemand(nowMillis);
        double deviation = Math.sqrt(demand);
        int fresh = Math.min(initial, totalSlots - (int) Math.ceil(demand + RESERVE_DEVIATIONS * deviation + 1));
        int agedLimit = totalSlots - (int) Math.ceil(demand + AGED_RESERVE_DEVIATIONS * deviation);
        if (measuredSince == Long.MIN_VALUE || nowMillis - measuredSince < SLOW_MILLIS) {
            agedLimit = Math.min(initial, agedLimit);
        }
        return Math.max(1, fresh + (int) ((agedLimit - fresh) * aged(waitMillis)));
    }

    /** Returns how many slots long work gets before queued short work: one at first, its initial share when aged. */
    int urgentLimit(int totalSlots, long waitMillis, long nowMillis) {
        int most = Math.min(initialLimit(totalSlots), limit(totalSlots, waitMillis, nowMillis));
        return Math.max(1, 1 + (int) ((most - 1) * aged(waitMillis)));
    }

    boolean isAged(long waitMillis) {
        return waitMillis >= ageingMillis;
    }

    private int initialLimit(int totalSlots) {
        return Math.max(1, (int) (totalSlots * share));
    }

    private double aged(long waitMillis) {
        return Math.min(1, Math.max(0, waitMillis) / (double) ageingMillis);
    }

    private void decayTo(long nowMillis) {
        if (nowMillis > updatedAt) {
            fastMicros *= Math.exp((updatedAt - nowMillis) / FAST_MILLIS);
            slowMicros *= Math.exp((updatedAt - nowMillis) / SLOW_MILLIS);
            updatedAt = nowMillis;
        }
    }
}
