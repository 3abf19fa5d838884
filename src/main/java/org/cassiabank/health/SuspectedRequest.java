package org.cassiabank.health;

import java.util.List;
import java.util.Objects;

/**
 * A request with the server processes that ended, or seemed to, while they ran it.
 *
 * @param digest identifies the request
 * @param service the service that the request is for
 * @param crashes the processes
 */
public record SuspectedRequest(RequestDigest digest, String service, List<ServerCrash> crashes) {

    /**
     * Copies the crashes.
     *
     * @throws NullPointerException if a component or an element is null
     */
    public SuspectedRequest {
        Objects.requireNonNull(digest, "digest");
        Objects.requireNonNull(service, "service");
        crashes = List.copyOf(crashes);
    }
}
