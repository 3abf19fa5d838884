package org.cassiabank.membership;

import java.util.Objects;

/**
 * One start of a backend server. A server that starts again under its name is another start.
 *
 * @param serverName the name of the server
 * @param incarnation a number that differs between the starts under the name, 0 if the platform does not report it
 */
public record ServerStart(String serverName, long incarnation) {

    /**
     * Checks the name.
     *
     * @throws NullPointerException if the name is null
     */
    public ServerStart {
        Objects.requireNonNull(serverName, "serverName");
    }

    /**
     * Returns the start of a listed server.
     *
     * @param server the server
     * @return its name and incarnation
     * @throws NullPointerException if the server is null
     */
    public static ServerStart of(Instance server) {
        return new ServerStart(server.name(), server.incarnation());
    }
}
