package org.cassiabank.health;

import java.util.Objects;

/**
 * A backend server of the shard as the monitor sees it.
 *
 * @param name the unique name of the server
 * @param leaving whether the server is leaving and takes no new work
 * @param warm whether the server has finished its cold-start ramp
 */
public record MonitoredServer(String name, boolean leaving, boolean warm) {
    /**
     * Checks that the name is not null.
     */
    public MonitoredServer {
        Objects.requireNonNull(name, "name");
    }
}
