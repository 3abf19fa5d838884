package org.cassiabank.admission;

import java.util.Objects;

/**
 * A limit that a backend server named.
 *
 * @param server the name of the server
 * @param requestsPerSecond the requests a second that the server accepts from all proxies together, at least 0
 * @param ageMillis the time since the server last named the limit, in milliseconds, at least 0
 */
public record ServerRateLimit(String server, double requestsPerSecond, long ageMillis) {

    /**
     * Checks the components.
     *
     * @throws NullPointerException if the name is null
     * @throws IllegalArgumentException if the rate is not a finite number of at least 0 or the age is negative
     */
    public ServerRateLimit {
        Objects.requireNonNull(server, "server");
        if (!(requestsPerSecond >= 0) || Double.isInfinite(requestsPerSecond) || ageMillis < 0) {
            throw new IllegalArgumentException(
                    "limit of " + server + " is invalid: " + requestsPerSecond + "/s, " + ageMillis + " ms old");
        }
    }
}
