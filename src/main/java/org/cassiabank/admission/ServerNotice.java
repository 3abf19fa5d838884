package org.cassiabank.admission;

import java.util.Objects;

/**
 * What the response to an attempt says about its server.
 *
 * @param leaving whether the server is leaving the fleet
 * @param rateLimit the rate of requests that the server accepts
 */
public record ServerNotice(boolean leaving, RateLimitNotice rateLimit) {
    private static final ServerNotice NONE = new ServerNotice(false, new RateLimitNotice.Unknown());

    /**
     * Checks the components.
     *
     * @throws NullPointerException if the rate limit is null
     */
    public ServerNotice {
        Objects.requireNonNull(rateLimit, "rateLimit");
    }

    /**
     * Returns the notice of an attempt without a response.
     *
     * @return a notice that says nothing about the server
     */
    public static ServerNotice none() {
        return NONE;
    }
}
