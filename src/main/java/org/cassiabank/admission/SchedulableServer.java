package org.cassiabank.admission;

import java.util.Map;
import java.util.Objects;
import org.cassiabank.health.ServerHealth;

/**
 * A backend server as the scheduler of its shard sees it.
 *
 * @param name the unique name of the server
 * @param address the host and port for requests
 * @param slots how many requests the server runs at the same time, at least 1
 * @param health the verdict of the health monitor
 * @param leaving whether the server is about to stop and must get no new work
 * @param labels the labels of the server
 * @param failureDomain the failure domain of the server, empty if it does not count
 */
public record SchedulableServer(
        String name,
        String address,
        int slots,
        ServerHealth health,
        boolean leaving,
        Map<String, String> labels,
        String failureDomain) {

    /**
     * Checks and copies the components.
     */
    public SchedulableServer {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(health, "health");
        Objects.requireNonNull(failureDomain, "failureDomain");
        labels = Map.copyOf(labels);
        if (slots < 1) {
            throw new IllegalArgumentException("server " + name + " has " + slots + " slots, expected at least 1");
        }
    }

    /**
     * Creates a server whose failure domain does not count.
     *
     * @param name the unique name of the server
     * @param address the host and port for requests
     * @param slots how many requests the server runs at the same time, at least 1
     * @param health the verdict of the health monitor
     * @param leaving whether the server is about to stop and must get no new work
     * @param labels the labels of the server
     * @return the server
     */
    public static SchedulableServer of(
            String name, String address, int slots, ServerHealth health, boolean leaving, Map<String, String> labels) {
        return new SchedulableServer(name, address, slots, health, leaving, labels, "");
    }
}
