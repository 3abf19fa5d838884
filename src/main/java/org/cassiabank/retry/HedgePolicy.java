package org.cassiabank.retry;

import java.util.OptionalLong;

/**
 * Decides when a second attempt starts beside a slow first one.
 */
public final class HedgePolicy {

    private HedgePolicy() {}

    /**
     * Returns how long the first attempt runs alone.
     *
     * @param repeatable whether the request may run more than once; others are never hedged
     * @param attempts how many attempts were made, the running one included; only a first attempt is hedged
     * @param hedgeAfterMillis the usual 95th percentile of the route in milliseconds, 0 if it is not known
     * @param remainingMillis the time until the caller's deadline in milliseconds when the first attempt starts
     * @return the delay in milliseconds, or empty if no hedge is worth its cost; a hedge needs as much time again as
     *     it waited, because it most likely takes less than the 95th percentile
     */
    public static OptionalLong delayMillis(
            boolean repeatable, int attempts, long hedgeAfterMillis, long remainingMillis) {
        boolean useful = repeatable && attempts == 1 && hedgeAfterMillis > 0;
        return useful && remainingMillis - hedgeAfterMillis >= hedgeAfterMillis
                ? OptionalLong.of(hedgeAfterMillis)
                : OptionalLong.empty();
    }
}
