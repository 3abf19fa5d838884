package org.cassiabank.admission;

import java.util.Objects;

/**
 * The server and the route of a lease that was released by the report of its outcome.
 *
 * @param serverName the name of the server
 * @param route the route of the request
 * @param grantedAtMillis the time of the grant in milliseconds
 */
public record CompletedLease(String serverName, String route, long grantedAtMillis) {

    /**
     * Checks the names.
     *
     * @throws NullPointerException if the server name or the route is null
     */
    public CompletedLease {
        Objects.requireNonNull(serverName, "serverName");
        Objects.requireNonNull(route, "route");
    }
}
