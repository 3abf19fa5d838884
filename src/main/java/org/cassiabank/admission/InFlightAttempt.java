package org.cassiabank.admission;

import java.util.Objects;
import org.cassiabank.health.RequestDigest;

/**
 * An attempt at a request whose lease has neither been reported nor expired.
 *
 * @param serverName the name of the server
 * @param route the route of the request
 * @param digest identifies the request
 * @param elapsedMicros the time since the grant, in microseconds
 */
public record InFlightAttempt(String serverName, String route, RequestDigest digest, long elapsedMicros) {

    /**
     * Checks the components.
     *
     * @throws NullPointerException if a component is null
     */
    public InFlightAttempt {
        Objects.requireNonNull(serverName, "serverName");
        Objects.requireNonNull(route, "route");
        Objects.requireNonNull(digest, "digest");
    }
}
