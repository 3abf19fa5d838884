package org.cassiabank.admission;

/**
 * Decides how long a first attempt runs alone before a second one at another server is worth its cost.
 *
 * <p>It answers the load of routes whose work times have a long tail: a few requests in a hundred take several times
 * the usual time, and the same request most likely takes the usual time at another server. Without a target the tail
 * begins at the 95th percentile. With one the second attempt starts early enough to end within it, but not before three
 * of four requests have their responses, so that the fleet's budget lasts.
 */
final class HedgeDelay {
    /** What a second attempt is given, in mean times of its route. */
    private static final double ROOM_IN_MEANS = 1.2;

    /** An attempt that starts in the second half of the time seldom ends within it. */
    private static final double LATEST_PART = 0.45;

    private HedgeDelay() {}

    /**
     * Returns the delay.
     *
     * @param route the learned times of the route
     * @param targetMillis what is left of the time in which the caller expects a response, 0 if none is stated or left
     * @param remainingMillis the time until the caller's deadline, in milliseconds
     * @return the delay in milliseconds, 0 if too little is known about the route
     */
    static long millis(RouteCost route, long targetMillis, long remainingMillis) {
        if (route.p95Micros() <= 0) {
            return 0;
        }
        double delay = route.p95Micros() / 1_000;
        if (targetMillis > 0) {
            delay = Math.min(delay, targetMillis - ROOM_IN_MEANS * route.meanMicros() / 1_000);
        }
        delay = Math.min(delay, LATEST_PART * remainingMillis);
        return (long) Math.ceil(Math.max(delay, route.p75Micros() / 1_000));
    }
}
