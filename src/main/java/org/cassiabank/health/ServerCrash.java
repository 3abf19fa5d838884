package org.cassiabank.health;

import java.util.Objects;

/**
 * A server process whose connection broke while it ran a request.
 *
 * @param server the name of the server
 * @param incarnation the start of the server, 0 if the platform does not report it
 * @param ageMillis the time since the connection broke, in milliseconds, at least 0
 * @param refuted whether the process, or another one, showed later that the request did not end it
 */
public record ServerCrash(String server, long incarnation, long ageMillis, boolean refuted) {

    /**
     * Checks the components.
     *
     * @throws NullPointerException if the name is null
     * @throws IllegalArgumentException if the age is negative
     */
    public ServerCrash {
        Objects.requireNonNull(server, "server");
        if (ageMillis < 0) {
            throw new IllegalArgumentException("age of a crash is negative: " + ageMillis);
        }
    }
}
