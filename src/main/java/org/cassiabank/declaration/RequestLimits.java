package org.cassiabank.declaration;

/**
 * The limits on the time and the attempts for a request of a selector, and its rank among waiting requests.
 *
 * @param timeoutMillis the longest time until a caller gets a response, in milliseconds; 0 if only the service and the
 *     caller limit it
 * @param targetLatencyMillis the time in which callers expect a response, in milliseconds; 0 if none is declared
 * @param maximumAttempts the maximum number of backend servers to which one request is sent, at least 1
 * @param urgencyRank the rank among requests that compete for slots; 0 is the most urgent
 */
public record RequestLimits(long timeoutMillis, long targetLatencyMillis, int maximumAttempts, int urgencyRank) {
    /** Three attempts can reach all but one of the four failure domains in use. */
    private static final RequestLimits DEFAULTS = new RequestLimits(0, 0, 3, 0);

    /**
     * Checks the ranges of all values.
     *
     * @throws IllegalArgumentException if a value is out of range
     */
    public RequestLimits {
        DeclarationRules.throwIfPresent(DeclarationRules.TIMEOUT_MILLIS.problem(timeoutMillis));
        DeclarationRules.throwIfPresent(DeclarationRules.TARGET_MILLIS.problem(targetLatencyMillis));
        DeclarationRules.throwIfPresent(DeclarationRules.MAXIMUM_ATTEMPTS.problem(maximumAttempts));
        DeclarationRules.throwIfPresent(DeclarationRules.URGENCY.problem(urgencyRank));
    }

    /**
     * Returns the limits of a selector that declares none.
     *
     * @return limits without timeout and target latency, with three attempts and the highest urgency
     */
    public static RequestLimits defaults() {
        return DEFAULTS;
    }

    /**
     * Limits a time to the timeout, if there is one.
     *
     * @param millis the time in milliseconds
     * @return the shorter of the time and the timeout, in milliseconds
     */
    public long capMillis(long millis) {
        return timeoutMillis == 0 ? millis : Math.min(millis, timeoutMillis);
    }
}
