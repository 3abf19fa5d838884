package org.cassiabank.declaration;

/**
 * How long and how often the requests of a selector may be tried.
 *
 * @param timeoutMillis the longest time until a caller gets a response, in milliseconds; 0 if only the service and the
 *     caller limit it
 * @param targetLatencyMillis the time in which callers expect a response, in milliseconds; 0 if none is stated
 * @param maximumAttempts the most backend servers that one request is sent to
 * @param urgencyRank the rank among requests that compete for slots; 0 is the most urgent
 */
public record RequestLimits(long timeoutMillis, long targetLatencyMillis, int maximumAttempts, int urgencyRank) {
    /** Three attempts reach all failure domains but one of today's four. */
    private static final RequestLimits DEFAULTS = new RequestLimits(0, 0, 3, 0);

    /**
     * Checks the ranges.
     */
    public RequestLimits {
        DeclarationRules.require(DeclarationRules.TIMEOUT_MILLIS.problem(timeoutMillis));
        DeclarationRules.require(DeclarationRules.TARGET_MILLIS.problem(targetLatencyMillis));
        DeclarationRules.require(DeclarationRules.MAXIMUM_ATTEMPTS.problem(maximumAttempts));
        DeclarationRules.require(DeclarationRules.URGENCY.problem(urgencyRank));
    }

    /**
     * Returns the limits of a selector that states none.
     *
     * @return no timeout, three attempts, the highest urgency
     */
    public static RequestLimits defaults() {
        return DEFAULTS;
    }

    /**
     * Returns the shorter of a time and the timeout.
     *
     * @param millis a time in milliseconds
     * @return the time within the timeout, in milliseconds
     */
    public long capMillis(long millis) {
        return timeoutMillis == 0 ? millis : Math.min(millis, timeoutMillis);
    }
}
