package org.cassiabank.declaration;

/**
 * How long and how often the requests of a selector may be tried.
 *
 * @param timeoutMillis the longest time until a caller gets an answer, in milliseconds; 0 if only the service and the
 *     caller limit it
 * @param targetMillis the time in which callers expect an answer, in milliseconds; 0 if none is stated
 * @param maximumAttempts the most backend servers that one request is sent to
 * @param urgency the rank among requests that compete for slots; 0 is the most urgent
 */
public record RequestLimits(long timeoutMillis, long targetMillis, int maximumAttempts, int urgency) {
    /** Three attempts reach all failure domains but one of today's four. */
    private static final RequestLimits DEFAULTS = new RequestLimits(0, 0, 3, 0);

    /**
     * Checks the ranges.
     */
    public RequestLimits {
        DeclarationRules.require(DeclarationRules.TIMEOUT_MILLIS.problem(timeoutMillis));
        DeclarationRules.require(DeclarationRules.TARGET_MILLIS.problem(targetMillis));
        DeclarationRules.require(DeclarationRules.MAXIMUM_ATTEMPTS.problem(maximumAttempts));
        DeclarationRules.require(DeclarationRules.URGENCY.problem(urgency));
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
    public long within(long millis) {
        return timeoutMillis == 0 ? millis : Math.min(millis, timeoutMillis);
    }
}
