package org.cassiabank.admission;

import java.util.Objects;

/**
 * What a lease was for, returned when its outcome is reported.
 *
 * @param server the name of the server
 * @param route the route of the request
 */
public record FinishedLease(String server, String route) {

    /**
     * Checks that no component is null.
     */
    public FinishedLease {
        Objects.requireNonNull(server, "server");
        Objects.requireNonNull(route, "route");
    }
}
