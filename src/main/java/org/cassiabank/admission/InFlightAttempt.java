package org.cassiabank.admission;

import java.util.Objects;

/**
 * An attempt at a request whose lease has neither been reported nor expired.
 *
 * @param serverName the name of the server
 * @param route the route of the request
 * @param elapsedMicros the time since the grant, in microseconds
 */
public record InFlightAttempt(String serverName, String route, long elapsedMicros) {

    /**
     * Checks the names.
     *
     * @throws NullPointerException if the server name or the route is null
     */
    public InFlightAttempt {
        Objects.requireNonNull(serverName, "serverName");
        Objects.requireNonNull(route, "route");
    }
}
