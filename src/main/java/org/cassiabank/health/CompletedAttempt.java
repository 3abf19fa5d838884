package org.cassiabank.health;

import java.util.Objects;

/**
 * The end of one attempt at a backend server.
 *
 * @param server the name of the server
 * @param route the selector that the request was routed by
 * @param outcome how the attempt ended
 * @param latencyMicros the time from sending to the end of the attempt in microseconds, not negative
 */
public record CompletedAttempt(String server, String route, AttemptOutcome outcome, long latencyMicros) {
    /**
     * Checks that no component is null and that the latency is not negative.
     */
    public CompletedAttempt {
        Objects.requireNonNull(server, "server");
        Objects.requireNonNull(route, "route");
        Objects.requireNonNull(outcome, "outcome");
        if (latencyMicros < 0) {
            throw new IllegalArgumentException("latency of " + server + " is negative: " + latencyMicros);
        }
    }
}
