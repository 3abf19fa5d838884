package org.cassiabank.admission;

import java.util.Objects;

/**
 * What a lease was for, returned when its outcome is reported.
 *
 * @param serverName the name of the server
 * @param route the route of the request
 */
public record CompletedLease(String serverName, String route) {

    /**
     * Checks that no component is null.
     */
    public CompletedLease {
        Objects.requireNonNull(serverName, "serverName");
        Objects.requireNonNull(route, "route");
    }
}
