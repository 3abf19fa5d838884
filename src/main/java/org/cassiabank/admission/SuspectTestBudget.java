package org.cassiabank.admission;

/**
 * Limits how many unrepeatable requests of a shard test suspect servers while the servers in use carry the load. It
 * addresses a load of unrepeatable requests at servers that fail on their own: a failed test loses its request.
 *
 * <p>Only tests that are not answered use up the budget, so that servers whose fault has ended do not compete with
 * servers that still fail. Instances are not thread-safe. All times must come from one monotonic clock.
 */
final class SuspectTestBudget {
    /** The tests that may fail per unrepeatable request. */
    private static final double MAXIMUM_SHARE = 0.02;

    /** A shard with few requests may still test a server in this time. */
    private static final long MAXIMUM_INTERVAL_MILLIS = 2_000;

    /** Tests of several servers at once would lose several requests at once. */
    private static final double MAXIMUM_TOKENS = 2;

    /** The time between two tests of a server, which doubles with each one that fails. */
    private static final long FIRST_SERVER_INTERVAL_MILLIS = 2_500;

    /** A server has to be used again 12 s after its recovery, which takes two tests, each of which may have to wait. */
    private static final long MAXIMUM_SERVER_INTERVAL_MILLIS = 9_500;

    private static final int MAXIMUM_DOUBLINGS = 2;

    /** The minimum interval between tests of a shard without tokens while the servers in use are nearly full. */
    private static final long INTERVAL_IF_NEARLY_FULL_MILLIS = 250;

    /** A burst that fills the slots for a moment is no reason to test; the need is averaged over this time. */
    private static final double NEED_AVERAGE_MILLIS = 500;

    /** The average need is above this share after 350 ms without free capacity. */
    private static final double MINIMUM_NEED = 0.5;

    private double tokens = 1;
    private boolean needed;
    private double averageNeed;
    private long needUpdatedAtMillis;
    private long lastTestMillis = Long.MIN_VALUE / 2;

    /** Records whether the servers in use cannot carry the load from now on. */
    void recordNeed(boolean nowNeeded, long nowMillis) {
        averageNeed = averageNeed(nowMillis);
        needUpdatedAtMillis = nowMillis;
        needed = nowNeeded;
    }

    private boolean isNeededForLong(long nowMillis) {
        return needed && averageNeed(nowMillis) >= MINIMUM_NEED;
    }

    private double averageNeed(long nowMillis) {
        double present = needed ? 1 : 0;
        double formerWeight = Math.exp((needUpdatedAtMillis - nowMillis) / NEED_AVERAGE_MILLIS);
        return present + (averageNeed - present) * formerWeight;
    }

    /** Records that an unrepeatable request was granted a slot. */
    void recordRequest() {
        tokens = Math.min(MAXIMUM_TOKENS, tokens + MAXIMUM_SHARE);
    }

    /** Records that an unrepeatable request tests a suspect server. */
    void recordTest(long nowMillis) {
        tokens = Math.max(0, tokens - 1);
        lastTestMillis = nowMillis;
    }

    /** Records that a test did not lose its request. */
    void recordHarmlessTest() {
        tokens = Math.min(MAXIMUM_TOKENS, tokens + 1);
    }

    /**
     * Tells whether another unrepeatable request may test a suspect server now.
     *
     * @param failedTests the consecutive unrepeatable tests that the server has failed
     * @param untestedMillis the time since the last request of the server, in milliseconds
     * @param nowMillis the time in milliseconds
     */
    boolean allowsTest(int failedTests, long untestedMillis, long nowMillis) {
        boolean nearlyFull = isNeededForLong(nowMillis);
        long serverIntervalMillis = nearlyFull
                ? FIRST_SERVER_INTERVAL_MILLIS
                : Math.min(
                        MAXIMUM_SERVER_INTERVAL_MILLIS,
                        FIRST_SERVER_INTERVAL_MILLIS << Math.min(failedTests, MAXIMUM_DOUBLINGS));
        long shardIntervalMillis = nearlyFull ? INTERVAL_IF_NEARLY_FULL_MILLIS : MAXIMUM_INTERVAL_MILLIS;
        return untestedMillis > serverIntervalMillis
                && (tokens >= 1 || nowMillis - lastTestMillis >= shardIntervalMillis);
    }
}
