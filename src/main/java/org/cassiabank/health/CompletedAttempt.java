package org.cassiabank.health;

import java.util.Objects;

/**
 * An attempt at a backend server that has ended, with its outcome and latency.
 *
 * @param server the name of the server
 * @param route the selector that the request was routed by
 * @param outcome the outcome of the attempt
 * @param latencyMicros the time from sending to the end of the attempt in microseconds, not negative
 * @param entryProxy the name of the entry proxy that made the attempt, empty if it is not known
 * @param repeatable whether the request may run again at another server
 */
public record CompletedAttempt(
        String server,
        String route,
        AttemptOutcome outcome,
        long latencyMicros,
        String entryProxy,
        boolean repeatable) {
    /**
     * Checks the components.
     *
     * @throws NullPointerException if the server, the route, the outcome or the entry proxy is null
     * @throws IllegalArgumentException if the latency is negative
     */
    public CompletedAttempt {
        Objects.requireNonNull(server, "server");
        Objects.requireNonNull(route, "route");
        Objects.requireNonNull(outcome, "outcome");
        Objects.requireNonNull(entryProxy, "entryProxy");
        if (latencyMicros < 0) {
            throw new IllegalArgumentException("latency of " + server + " is negative: " + latencyMicros);
        }
    }

    /**
     * Creates an attempt at an unrepeatable request of an entry proxy that is not known.
     *
     * @param server the name of the server
     * @param route the selector that the request was routed by
     * @param outcome the outcome of the attempt
     * @param latencyMicros the time from sending to the end of the attempt in microseconds, not negative
     * @return the attempt
     */
    public static CompletedAttempt ofUnknownEntryProxy(
            String server, String route, AttemptOutcome outcome, long latencyMicros) {
        return new CompletedAttempt(server, route, outcome, latencyMicros, "", false);
    }
}
