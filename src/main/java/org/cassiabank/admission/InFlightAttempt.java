package org.cassiabank.admission;

import java.util.Objects;

/**
 * A request that holds a lease.
 *
 * @param serverName the name of the server
 * @param route the route of the request
 * @param elapsedMicros the time since the grant, in microseconds
 */
public record InFlightAttempt(String serverName, String route, long elapsedMicros) {

    /**
     * Checks that no component is null.
     */
    public InFlightAttempt {
        Objects.requireNonNull(serverName, "serverName");
        Objects.requireNonNull(route, "route");
    }
}
