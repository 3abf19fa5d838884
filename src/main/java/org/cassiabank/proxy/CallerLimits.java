package org.cassiabank.proxy;

/**
 * Limits on what callers may ask of one daemon.
 *
 * @param connections the largest number of open connections
 * @param requestsInFlight the largest number of requests in flight
 * @param headerBytes the largest size of all headers of a request, in bytes
 * @param bodyBytes the largest body of a request, in bytes
 * @param answerBytes the largest body of an answer, in bytes
 * @param idleMillis how long a connection may be idle, in milliseconds
 */
public record CallerLimits(
        int connections, int requestsInFlight, int headerBytes, int bodyBytes, int answerBytes, long idleMillis) {
    private static final CallerLimits DEFAULTS =
            new CallerLimits(4_096, 1_024, 16 * 1_024, 1_024 * 1_024, 8 * 1_024 * 1_024, 60_000);

    /**
     * Checks that all limits are positive.
     */
    public CallerLimits {
        if (connections < 1 || requestsInFlight < 1 || headerBytes < 1 || bodyBytes < 1 || answerBytes < 1) {
            throw new IllegalArgumentException("limits must be positive");
        }
        if (idleMillis < 1) {
            throw new IllegalArgumentException("the idle time must be positive");
        }
    }

    /**
     * Returns the limits that apply when the settings name none.
     *
     * @return the default limits
     */
    public static CallerLimits defaults() {
        return DEFAULTS;
    }
}
