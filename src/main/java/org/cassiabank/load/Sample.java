package org.cassiabank.load;

/**
 * The result of sending one request once.
 *
 * @param arrival the arrival in the schedule
 * @param repeatNumber 0 for the first send of the request, then the number of the repeat by the caller
 * @param token the token of the request; the idempotency key of the request if it is unrepeatable
 * @param outcome what the caller observed
 * @param httpStatus the HTTP status, or 0 without a response
 * @param reason the reason in the response, the name of the I/O error or the status of an unmarked response; may be
 *     empty
 * @param latencyNanos the time from the intended send time to the end of the response, in nanoseconds
 * @param sendDelayNanos the delay of the send after its intended time, in nanoseconds
 * @param foreignRequestId whether the response carried another request id than the request
 * @param retryAfterMillis the delay after which a refused caller may retry, in milliseconds, or -1 if absent
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
     * Returns the arrival time plus the latency, which is the end of the response for the first send of a request.
     *
     * @return the time since the start of the schedule, in nanoseconds
     */
    public long endNanos() {
        return arrival.offsetNanos() + latencyNanos;
    }
}
