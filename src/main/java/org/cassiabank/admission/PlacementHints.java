package org.cassiabank.admission;

import java.util.Objects;
import java.util.Set;

/**
 * What an entry proxy knows that makes one server cheaper for it than another.
 *
 * @param attemptNumber the number of this attempt at the request, 1 for the first one
 * @param failureDomain the failure domain of the entry proxy, empty if it does not count
 * @param connectedServers the names of the servers to which the entry proxy holds an idle connection
 */
public record PlacementHints(int attemptNumber, String failureDomain, Set<String> connectedServers) {
    private static final PlacementHints NONE = new PlacementHints(1, "", Set.of());

    /**
     * Checks and copies the components.
     */
    public PlacementHints {
        Objects.requireNonNull(failureDomain, "failureDomain");
        connectedServers = Set.copyOf(connectedServers);
        if (attemptNumber < 1) {
            throw new IllegalArgumentException("the first attempt has number 1: " + attemptNumber);
        }
    }

    /**
     * Returns the hints of a first attempt by an entry proxy to which all servers are alike.
     *
     * @return the hints
     */
    public static PlacementHints none() {
        return NONE;
    }

    /**
     * Tells whether the request was sent to a server before.
     *
     * @return true from the second attempt on
     */
    public boolean isAdditionalAttempt() {
        return attemptNumber > 1;
    }
}
