package org.cassiabank.admission;

import java.util.Objects;
import java.util.Set;

/**
 * What an entry knows that makes one server cheaper for it than another.
 *
 * @param attempt the number of this attempt at the request, 1 for the first one
 * @param failureDomain the failure domain of the entry, empty if it does not count
 * @param connected the names of the servers to which the entry holds an idle connection
 */
public record EntryHints(int attempt, String failureDomain, Set<String> connected) {
    private static final EntryHints NONE = new EntryHints(1, "", Set.of());

    /**
     * Checks and copies the components.
     */
    public EntryHints {
        Objects.requireNonNull(failureDomain, "failureDomain");
        connected = Set.copyOf(connected);
        if (attempt < 1) {
            throw new IllegalArgumentException("the first attempt has number 1: " + attempt);
        }
    }

    /**
     * Returns the hints of a first attempt by an entry to which all servers are alike.
     *
     * @return the hints
     */
    public static EntryHints none() {
        return NONE;
    }

    /**
     * Tells whether the request was sent to a server before.
     *
     * @return true from the second attempt on
     */
    public boolean isRepeat() {
        return attempt > 1;
    }
}
