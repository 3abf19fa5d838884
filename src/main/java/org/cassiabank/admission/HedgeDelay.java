package org.cassiabank.admission;

/**
 * Calculates how long a first attempt runs alone before a second one, a hedge, starts at another server.
 *
 * <p>Hedges help routes whose service times have a long tail: a few requests in a hundred take several times the usual
 * time, and the same request most likely takes the usual time at another server. Without a target latency the delay is
 * the 95th percentile. With one the hedge starts early enough to end within it, but not before three of four requests
 * have their responses, so that the hedges stay within the fleet's retry budget.
 */
final class HedgeDelay {
    /** The time that a hedge is given before the target latency, in mean service times of its route. */
    private static final double HEDGE_DURATION_MEANS = 1.2;

    /**
     * The maximum share of the remaining time that the hedge waits, because an attempt that starts in the second half
     * of that time seldom ends within it.
     */
    private static final double MAXIMUM_DELAY_SHARE = 0.45;

    private HedgeDelay() {}

    /**
     * Returns the delay from the start of the first attempt.
     *
     * @param routeCost the estimated service times of the route
     * @param remainingTargetMillis the rest of the time in which the caller expects a response, in milliseconds; 0 if
     *     none is stated or left
     * @param remainingMillis the time until the caller's deadline, in milliseconds
     * @return the delay in milliseconds, 0 if the route has too few responses for an estimate
     */
    static long delayMillis(RouteCost routeCost, long remainingTargetMillis, long remainingMillis) {
        if (routeCost.p95Micros() <= 0) {
            return 0;
        }
        double delayMillis = routeCost.p95Micros() / 1_000;
        if (remainingTargetMillis > 0) {
            delayMillis = Math.min(
                    delayMillis, remainingTargetMillis - HEDGE_DURATION_MEANS * routeCost.meanMicros() / 1_000);
        }
        delayMillis = Math.min(delayMillis, MAXIMUM_DELAY_SHARE * remainingMillis);
        return (long) Math.ceil(Math.max(delayMillis, routeCost.p75Micros() / 1_000));
    }
}
