package org.cassiabank.health;

import java.util.Objects;

/**
 * A backend server of the shard with the properties that ejection depends on.
 *
 * @param name the unique name of the server
 * @param leaving whether the server is leaving and accepts no new requests
 * @param warm whether the server has finished its cold-start ramp
 * @param failureDomain the failure domain of the server, empty if it is not known
 */
public record MonitoredServer(String name, boolean leaving, boolean warm, String failureDomain) {
    /**
     * Checks the names.
     *
     * @throws NullPointerException if the name or the failure domain is null
     */
    public MonitoredServer {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(failureDomain, "failureDomain");
    }

    /**
     * Creates a server whose failure domain is not known.
     *
     * @param name the unique name of the server
     * @param leaving whether the server is leaving and accepts no new requests
     * @param warm whether the server has finished its cold-start ramp
     * @return the server
     */
    public static MonitoredServer ofUnknownDomain(String name, boolean leaving, boolean warm) {
        return new MonitoredServer(name, leaving, warm, "");
    }
}
