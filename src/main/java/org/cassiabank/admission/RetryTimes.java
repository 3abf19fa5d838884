package org.cassiabank.admission;

import org.cassiabank.health.RequestDigest;

/**
 * Calculates when refused callers should return.
 *
 * <p>The times answer the load of many callers that are refused together in a burst. If all returned at the predicted
 * time, they would be the next burst, so their times are spread by the digests of their requests.
 */
public final class RetryTimes {
    private static final double MINIMUM_MILLIS = 10;
    private static final double MAXIMUM_MILLIS = 10_000;

    /** Callers ignore a retry time beyond this part of the time that is left to them. */
    private static final double MAXIMUM_SHARE_OF_REMAINING = 1.0 / 3;

    /** The latest time is this many times the predicted one. */
    private static final double SPREAD_FACTOR = 2;

    /** The part of the permitted time over which requests are spread if the predicted time exceeds it. */
    private static final double CAPPED_SPREAD_SHARE = 1.0 / 3;

    /** Multiplicative hash: an odd number close to 2^64 divided by the golden ratio. */
    private static final long HASH_FACTOR = 0x9E3779B97F4A7C15L;

    private RetryTimes() {}

    /**
     * Returns the retry time of a refused request.
     *
     * @param roomMillis the predicted time until there is room for the request, in milliseconds
     * @param remainingMillis the time until the caller's deadline, in milliseconds
     * @param digest the digest of the request
     * @param requestNumber the number of the request at this scheduler, which spreads equal requests
     * @return the time in milliseconds: between the predicted time and twice as much, at most a third of the remaining
     *     time, at least 1
     */
    public static long retryAfterMillis(
            double roomMillis, long remainingMillis, RequestDigest digest, long requestNumber) {
        double latestMillis = Math.min(MAXIMUM_MILLIS, Math.max(0, remainingMillis) * MAXIMUM_SHARE_OF_REMAINING);
        double earliestMillis =
                Math.min(Math.max(MINIMUM_MILLIS, roomMillis), (1 - CAPPED_SPREAD_SHARE) * latestMillis);
        double endMillis = Math.min(latestMillis, SPREAD_FACTOR * earliestMillis);
        // A time of 0 would be left out of the reply, and callers without a time return at once.
        return Math.max(1, (long) (earliestMillis + (endMillis - earliestMillis) * fraction(digest, requestNumber)));
    }

    /** Returns a number from 0 to below 1 that is evenly distributed over digests and request numbers. */
    private static double fraction(RequestDigest digest, long requestNumber) {
        long hash = (digest.hex().hashCode() * HASH_FACTOR + requestNumber) * HASH_FACTOR;
        return (hash >>> 11) * 0x1p-53;
    }
}
