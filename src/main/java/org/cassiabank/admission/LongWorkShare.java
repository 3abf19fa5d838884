package org.cassiabank.admission;

/**
 * Calculates how many slots long work may hold. The reserve for short work follows the demand for short work, and the
 * limit of long work grows while its oldest request waits.
 */
final class LongWorkShare {
    /** The time constants of the two averages of the demand for short work. */
    private static final double FAST_AVERAGE_MILLIS = 500;

    private static final double SLOW_AVERAGE_MILLIS = 5000;
    /**
     * The slots kept free for short work beyond its demand, in units of the square root of the demand. With 3 and one
     * more slot, short work of random arrivals finds no free slot in less than 1 of 250 cases at any demand (Erlang C).
     */
    private static final double RESERVE_DEVIATIONS = 3;

    /**
     * The same reserve once the oldest long request has waited for the ageing time; 1.4% to 1.8% of 270 short
     * requests/s then wait.
     */
    private static final double AGED_RESERVE_DEVIATIONS = 2.5;

    private final double initialShare;
    private final long ageingMillis;
    private double fastDecayingMicros;
    private double slowDecayingMicros;
    private long updatedAtMillis;
    private long measuredSinceMillis = Long.MIN_VALUE;

    LongWorkShare(SchedulerSettings settings) {
        this.initialShare = settings.initialLongWorkShare();
        this.ageingMillis = settings.longWorkAgeingMillis();
    }

    void recordShortArrival(double costMicros, long nowMillis) {
        if (measuredSinceMillis == Long.MIN_VALUE) {
            measuredSinceMillis = nowMillis;
            updatedAtMillis = nowMillis;
        }
        decayTo(nowMillis);
        fastDecayingMicros += costMicros;
        slowDecayingMicros += costMicros;
    }

    /** Returns the number of slots that short work occupies: the higher of a fast and a slow average. */
    double shortDemandSlots(long nowMillis) {
        decayTo(nowMillis);
        return Math.max(fastDecayingMicros / FAST_AVERAGE_MILLIS, slowDecayingMicros / SLOW_AVERAGE_MILLIS) / 1000;
    }

    /**
     * Returns how many slots long work may hold while no short work is queued.
     *
     * @param totalSlots the usable slots of the service
     * @param waitMillis how long the oldest queued long request has waited, in milliseconds
     * @param nowMillis the current time in milliseconds
     * @return the limit, at least 1
     */
    int slotLimit(int totalSlots, long waitMillis, long nowMillis) {
        int initialSlots = initialLimit(totalSlots);
        double demandSlots = shortDemandSlots(nowMillis);
        double deviationSlots = Math.sqrt(demandSlots);
        int freshLimit = Math.min(
                initialSlots, totalSlots - (int) Math.ceil(demandSlots + RESERVE_DEVIATIONS * deviationSlots + 1));
        int agedLimit = totalSlots - (int) Math.ceil(demandSlots + AGED_RESERVE_DEVIATIONS * deviationSlots);
        if (measuredSinceMillis == Long.MIN_VALUE || nowMillis - measuredSinceMillis < SLOW_AVERAGE_MILLIS) {
            agedLimit = Math.min(initialSlots, agedLimit);
        }
        return Math.max(1, freshLimit + (int) ((agedLimit - freshLimit) * agedFraction(waitMillis)));
    }

    /**
     * Returns how many slots long work gets before queued short work: one at first, growing to its initial share at the
     * ageing time.
     */
    int guaranteedSlots(int totalSlots, long waitMillis, long nowMillis) {
        int maximumLimit = Math.min(initialLimit(totalSlots), slotLimit(totalSlots, waitMillis, nowMillis));
        return Math.max(1, 1 + (int) ((maximumLimit - 1) * agedFraction(waitMillis)));
    }

    boolean isAged(long waitMillis) {
        return waitMillis >= ageingMillis;
    }

    private int initialLimit(int totalSlots) {
        return Math.max(1, (int) (totalSlots * initialShare));
    }

    private double agedFraction(long waitMillis) {
        return Math.min(1, Math.max(0, waitMillis) / (double) ageingMillis);
    }

    private void decayTo(long nowMillis) {
        if (nowMillis > updatedAtMillis) {
            fastDecayingMicros *= Math.exp((updatedAtMillis - nowMillis) / FAST_AVERAGE_MILLIS);
            slowDecayingMicros *= Math.exp((updatedAtMillis - nowMillis) / SLOW_AVERAGE_MILLIS);
            updatedAtMillis = nowMillis;
        }
    }
}
