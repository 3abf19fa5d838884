package org.cassiabank.proxy;

import java.util.Optional;
import org.cassiabank.declaration.ConnectionLimits;

/**
 * Limits on the connections and requests that one daemon accepts from callers.
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
     *
     * @throws IllegalArgumentException if a limit is 0 or negative
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
     * Returns these limits with the operators' declared limits applied. A declared size applies up to the size in these
     * limits, for which this daemon has the memory; a declared time replaces the time in these limits.
     *
     * @param declared the operators' limits, if any; a value of 0 leaves the limit as it is
     * @return the limits in force
     */
    CallerLimits withDeclaredLimits(Optional<ConnectionLimits> declared) {
        return declared.map(limits -> new CallerLimits(
                        connections,
                        requestsInFlight,
                        (int) declaredOrConfigured(Math.min(headerBytes, limits.headerBytes()), headerBytes),
                        (int) declaredOrConfigured(Math.min(bodyBytes, limits.bodyBytes()), bodyBytes),
                        answerBytes,
                        declaredOrConfigured(limits.headerMillis(), headerMillis),
                        declaredOrConfigured(limits.idleMillis(), idleMillis)))
                .orElse(this);
    }

    /**
     * Returns the limits that apply when the settings name none.
     *
     * @return 4,096 connections, 1,024 requests in flight, 16 KiB of headers, bodies of 1 MiB, responses of 8 MiB,
     *     10 s for the headers and 60 s for an idle connection
     */
    public static CallerLimits defaults() {
        return DEFAULTS;
    }

    private static long declaredOrConfigured(long declared, long configured) {
        return declared > 0 ? declared : configured;
    }
}
