package org.cassiabank.admission;

/**
 * Limits the grants for one server to the requests a second that it accepts.
 *
 * <p>A token bucket that starts empty: the server has had requests until the limit became known, perhaps also from a
 * former owner of its shard.
 */
final class RequestRateLimiter {
    /** Credit that is not used is kept for this time at the limited rate, and at least for one request. */
    private static final double BURST_SECONDS = 0.25;

    /**
     * A server with a lower limit still gets a request in 10 s, because only its responses tell that the limit has
     * ended.
     */
    private static final double MINIMUM_REQUESTS_PER_SECOND = 0.1;

    private static final double MILLIS_PER_SECOND = 1_000;

    private double requestsPerSecond;
    private double credit;
    private long updatedAtMillis;

    private RequestRateLimiter(double requestsPerSecond, long nowMillis) {
        this.requestsPerSecond = Math.max(MINIMUM_REQUESTS_PER_SECOND, requestsPerSecond);
        this.updatedAtMillis = nowMillis;
    }

    static RequestRateLimiter create(double requestsPerSecond, long nowMillis) {
        return new RequestRateLimiter(requestsPerSecond, nowMillis);
    }

    /** Applies another rate from now on; the credit is kept as far as the new rate allows it. */
    void setRate(double newRequestsPerSecond, long nowMillis) {
        refill(nowMillis);
        requestsPerSecond = Math.max(MINIMUM_REQUESTS_PER_SECOND, newRequestsPerSecond);
        credit = Math.min(credit, capacity());
    }

    /** Returns the rate in requests a second at which grants are possible. */
    double requestsPerSecond() {
        return requestsPerSecond;
    }

    boolean allowsRequest(long nowMillis) {
        refill(nowMillis);
        return credit >= 1;
    }

    void recordGrant(long nowMillis) {
        refill(nowMillis);
        credit--;
    }

    private void refill(long nowMillis) {
        double earned = Math.max(0, nowMillis - updatedAtMillis) * requestsPerSecond / MILLIS_PER_SECOND;
        credit = Math.min(capacity(), credit + earned);
        updatedAtMillis = Math.max(updatedAtMillis, nowMillis);
    }

    private double capacity() {
        return Math.max(1, requestsPerSecond * BURST_SECONDS);
    }
}
