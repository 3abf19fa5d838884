package org.cassiabank.health;

import java.util.Objects;

/**
 * A backend server of the shard with the properties that ejection depends on.
 *
 * @param name the unique name of the server
 * @param leaving whether the server is leaving and accepts no new requests
 * @param warm whether the server has finished its cold-start ramp
 */
public record MonitoredServer(String name, boolean leaving, boolean warm) {
    /**
     * Checks the name.
     *
     * @throws NullPointerException if the name is null
     */
    public MonitoredServer {
        Objects.requireNonNull(name, "name");
    }
}
