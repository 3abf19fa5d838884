package org.cassiabank.quota;

/**
 * How closely a limit is kept: a window of {@code windowMillis} has at most (rate x window + burst) x (1 + overage) +
 * slack requests.
 *
 * @param windowMillis the length of the window in milliseconds, positive
 * @param overage the tolerated excess as a fraction of the limit, not negative
 * @param slack the tolerated excess in requests, not negative
 */
public record QuotaBounds(long windowMillis, double overage, double slack) {
    private static final double MILLIS_PER_SECOND = 1_000;

    /**
     * Checks the values.
     *
     * @throws IllegalArgumentException if a value is out of range
     */
    public QuotaBounds {
        if (windowMillis <= 0 || !(overage >= 0) || !(slack >= 0)) {
            throw new IllegalArgumentException(
                    "bounds are out of range: " + windowMillis + ", " + overage + ", " + slack);
        }
    }

    /**
     * Returns the bounds of a deployment that states none.
     *
     * @return 5 s, a tenth and 20 requests
     */
    public static QuotaBounds defaults() {
        return new QuotaBounds(5_000, 0.1, 20);
    }

    /**
     * Returns the requests that a limit alone allows in one window.
     *
     * @param limit the limit
     * @return the requests without overage, slack and burst
     */
    public double rateRequests(CustomerLimit limit) {
        return limit.requestsPerSecond() * windowMillis / MILLIS_PER_SECOND;
    }

    /**
     * Returns the largest number of requests in any window.
     *
     * @param limit the limit
     * @return the requests
     */
    public double maximumRequests(CustomerLimit limit) {
        return (rateRequests(limit) + limit.burst()) * (1 + overage) + slack;
    }

    /** Returns the part of the limit that a participant has as a rate before its first lease. */
    double unleasedShare(int liveProxies) {
        return Math.min(1, overage / 2) / Math.max(1, liveProxies);
    }

    /** Returns the requests that a participant may run at once before its first lease, at least one. */
    double unleasedRequests(CustomerLimit limit, int liveProxies) {
        return Math.max(1, unleasedRequestsOfAll(limit) / Math.max(1, liveProxies));
    }

    /** Returns the requests that are reserved for all participants before their first leases. */
    double unleasedRequestsOfAll(CustomerLimit limit) {
        return (slack + overage * rateRequests(limit)) / 2;
    }
}
