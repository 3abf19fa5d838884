package org.cassiabank.admission;

import java.util.Objects;
import java.util.Set;

/**
 * Properties of an attempt and its entry proxy that make one server cheaper to use than another.
 *
 * @param attemptNumber the number of this attempt at the request, 1 for the first one
 * @param failureDomain the failure domain of the entry proxy, empty if placement ignores it
 * @param connectedServers the names of the servers to which the entry proxy holds an idle connection
 * @param narrowLinks whether a server of another failure domain costs by the bytes of the route's messages
 */
public record PlacementHints(
        int attemptNumber, String failureDomain, Set<String> connectedServers, boolean narrowLinks) {
    private static final PlacementHints NONE = new PlacementHints(1, "", Set.of());

    /**
     * Checks the attempt number and copies the names.
     *
     * @throws NullPointerException if a component is null
     * @throws IllegalArgumentException if the attempt number is less than 1
     */
    public PlacementHints {
        Objects.requireNonNull(failureDomain, "failureDomain");
        connectedServers = Set.copyOf(connectedServers);
        if (attemptNumber < 1) {
            throw new IllegalArgumentException("attempt number must be at least 1: " + attemptNumber);
        }
    }

    /**
     * Creates the hints of an entry proxy whose links are wide.
     *
     * @param attemptNumber the number of this attempt at the request, 1 for the first one
     * @param failureDomain the failure domain of the entry proxy, empty if placement ignores it
     * @param connectedServers the names of the servers to which the entry proxy holds an idle connection
     * @throws NullPointerException if an argument is null
     * @throws IllegalArgumentException if the attempt number is less than 1
     */
    public PlacementHints(int attemptNumber, String failureDomain, Set<String> connectedServers) {
        this(attemptNumber, failureDomain, connectedServers, false);
    }

    /**
     * Returns the hints of a first attempt by an entry proxy that reaches all servers at the same cost.
     *
     * @return hints without a failure domain and connections
     */
    public static PlacementHints none() {
        return NONE;
    }

    /**
     * Tells whether this attempt follows an earlier one at the same request.
     *
     * @return true from the second attempt on
     */
    public boolean isAdditionalAttempt() {
        return attemptNumber > 1;
    }
}
