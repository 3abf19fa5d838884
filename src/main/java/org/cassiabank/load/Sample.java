package org.cassiabank.load;

/**
 * The result of sending one request once.
 *
 * @param arrival the arrival in the schedule
 * @param repeatNumber 0 for the first time a caller sent the request, more for its repeats with the same key
 * @param token the token of the request, which is its key if it is unrepeatable
 * @param outcome what the caller learned
 * @param httpStatus the HTTP status, or 0 without a response
 * @param reason the reason given by the proxy or the error; may be empty
 * @param latencyNanos the time from the intended send time to the end of the response, in nanoseconds
 * @param sendDelayNanos how much later than intended the tool sent the request, in nanoseconds
 * @param foreignRequestId whether the response carried another request id than the request
 * @param retryAfterMillis the time after which a refused caller may retry, in milliseconds, or -1
 */
public record Sample(
        Arrival arrival,
        int repeatNumber,
        String token,
        ObservedOutcome outcome,
        int httpStatus,
        String reason,
        long latencyNanos,
        long sendDelayNanos,
        boolean foreignRequestId,
        long retryAfterMillis) {

    /**
     * Returns the time of the end of the response.
     *
     * @return the time since the start of the schedule, in nanoseconds
     */
    public long endNanos() {
        return arrival.offsetNanos() + latencyNanos;
    }
}
