package org.cassiabank.proxy;

import java.util.Optional;
import org.cassiabank.declaration.ConnectionLimits;

/**
 * Limits on what callers may ask of one daemon.
 *
 * @param connections the largest number of open connections
 * @param requestsInFlight the largest number of requests in flight
 * @param headerBytes the largest size of all headers of a request, in bytes
 * @param bodyBytes the largest body of a request, in bytes
 * @param answerBytes the largest body of a response, in bytes
 * @param headerMillis the longest time from the first byte of a request to the end of its headers, in milliseconds
 * @param idleMillis how long a connection may be idle, in milliseconds
 */
public record CallerLimits(
        int connections,
        int requestsInFlight,
        int headerBytes,
        int bodyBytes,
        int answerBytes,
        long headerMillis,
        long idleMillis) {
    private static final CallerLimits DEFAULTS =
            new CallerLimits(4_096, 1_024, 16 * 1_024, 1_024 * 1_024, 8 * 1_024 * 1_024, 10_000, 60_000);

    /**
     * Checks that all limits are positive.
     */
    public CallerLimits {
        if (connections < 1 || requestsInFlight < 1 || headerBytes < 1 || bodyBytes < 1 || answerBytes < 1) {
            throw new IllegalArgumentException("limits must be positive");
        }
        if (headerMillis < 1 || idleMillis < 1) {
            throw new IllegalArgumentException("times must be positive");
        }
    }

    /**
     * Returns these limits as the operators' declaration changes them: its sizes apply as far as this daemon has the
     * memory for them, its times replace those of the settings.
     *
     * @param declared the operators' limits, if any
     * @return the limits in force
     */
    CallerLimits with(Optional<ConnectionLimits> declared) {
        return declared.map(limits -> new CallerLimits(
                        connections,
                        requestsInFlight,
                        (int) orElse(Math.min(headerBytes, limits.headerBytes()), headerBytes),
                        (int) orElse(Math.min(bodyBytes, limits.bodyBytes()), bodyBytes),
                        answerBytes,
                        orElse(limits.headerMillis(), headerMillis),
                        orElse(limits.idleMillis(), idleMillis)))
                .orElse(this);
    }

    /**
     * Returns the limits that apply when the settings name none.
     *
     * @return the default limits
     */
    public static CallerLimits defaults() {
        return DEFAULTS;
    }

    private static long orElse(long declared, long own) {
        return declared > 0 ? declared : own;
    }
}
