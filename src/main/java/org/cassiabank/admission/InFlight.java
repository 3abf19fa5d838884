package org.cassiabank.admission;

import java.util.Objects;

/**
 * A request that holds a lease.
 *
 * @param server the name of the server
 * @param route the route of the request
 * @param elapsedMicros the time since the grant, in microseconds
 */
public record InFlight(String server, String route, long elapsedMicros) {

    /**
     * Checks that no component is null.
     */
    public InFlight {
        Objects.requireNonNull(server, "server");
        Objects.requireNonNull(route, "route");
    }
}
