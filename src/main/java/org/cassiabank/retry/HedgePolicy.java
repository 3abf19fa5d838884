package org.cassiabank.retry;

import java.util.OptionalLong;

/**
 * Decides when a second attempt, a hedge, starts while a slow first one is still running.
 */
public final class HedgePolicy {

    private HedgePolicy() {}

    /**
     * Returns how long the first attempt runs alone.
     *
     * @param repeatable whether the request may run more than once; unrepeatable requests are never hedged
     * @param attemptCount how many attempts were made, the running one included; only a first attempt is hedged
     * @param hedgeDelayMillis the delay that the owner calculated from the service times of the route, at most their
     *     95th percentile, in milliseconds; 0 if no hedge may start
     * @param remainingMillis the time until the caller's deadline in milliseconds when the first attempt starts
     * @return the delay in milliseconds, or empty if no hedge starts; the time left for a hedge must be at least the
     *     delay, because the hedge most likely takes less than the 95th percentile
     */
    public static OptionalLong delayMillis(
            boolean repeatable, int attemptCount, long hedgeDelayMillis, long remainingMillis) {
        boolean eligible = repeatable && attemptCount == 1 && hedgeDelayMillis > 0;
        return eligible && remainingMillis - hedgeDelayMillis >= hedgeDelayMillis
                ? OptionalLong.of(hedgeDelayMillis)
                : OptionalLong.empty();
    }
}
