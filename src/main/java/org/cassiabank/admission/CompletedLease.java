package org.cassiabank.admission;

import java.util.Objects;
import org.cassiabank.health.AttemptOutcome;
import org.cassiabank.health.CompletedAttempt;
import org.cassiabank.health.RequestDigest;

/**
 * The server, the route and the holder of a lease that was released by the report of its outcome.
 *
 * @param serverName the name of the server
 * @param route the route of the request
 * @param entryProxy the name of the entry proxy that held the lease
 * @param digest identifies the request
 * @param grantedAtMillis the time of the grant in milliseconds
 * @param repeatable whether the request may run again at another server
 * @param suspectTest whether the request tested a server on probation, or one that mostly failed while others did not
 */
public record CompletedLease(
        String serverName,
        String route,
        String entryProxy,
        RequestDigest digest,
        long grantedAtMillis,
        boolean repeatable,
        boolean suspectTest) {

    /**
     * Checks the components.
     *
     * @throws NullPointerException if a component is null
     */
    public CompletedLease {
        Objects.requireNonNull(serverName, "serverName");
        Objects.requireNonNull(route, "route");
        Objects.requireNonNull(entryProxy, "entryProxy");
        Objects.requireNonNull(digest, "digest");
    }

    /**
     * Returns the attempt that held the lease, as the health monitor records it.
     *
     * @param outcome how it ended
     * @param latencyMicros its duration in microseconds
     * @return the attempt
     */
    public CompletedAttempt toAttempt(AttemptOutcome outcome, long latencyMicros) {
        return new CompletedAttempt(serverName, route, outcome, latencyMicros, entryProxy, repeatable);
    }
}
