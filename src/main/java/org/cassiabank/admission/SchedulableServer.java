package org.cassiabank.admission;

import java.util.Map;
import java.util.Objects;
import java.util.OptionalDouble;
import org.cassiabank.health.ServerHealth;

/**
 * The properties of a backend server that the scheduler of its shard needs.
 *
 * @param name the unique name of the server
 * @param address the host and port for requests
 * @param slots how many requests the server runs at the same time, at least 1
 * @param health the classification by the health monitor
 * @param leaving whether the server is about to stop and must get no new work
 * @param labels the labels of the server
 * @param failureDomain the failure domain of the server, empty if placement ignores it
 * @param requestsPerSecond the requests a second that this scheduler may grant at most, empty if the server names no
 *     limit
 */
public record SchedulableServer(
        String name,
        String address,
        int slots,
        ServerHealth health,
        boolean leaving,
        Map<String, String> labels,
        String failureDomain,
        OptionalDouble requestsPerSecond) {

    /**
     * Checks the number of slots and copies the labels.
     *
     * @throws NullPointerException if a component is null
     * @throws IllegalArgumentException if there are fewer slots than 1
     */
    public SchedulableServer {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(health, "health");
        Objects.requireNonNull(failureDomain, "failureDomain");
        Objects.requireNonNull(requestsPerSecond, "requestsPerSecond");
        labels = Map.copyOf(labels);
        if (slots < 1) {
            throw new IllegalArgumentException("server " + name + " has " + slots + " slots, expected at least 1");
        }
    }

    /**
     * Creates a server with an empty failure domain and without a limit of requests a second.
     *
     * @param name the unique name of the server
     * @param address the host and port for requests
     * @param slots how many requests the server runs at the same time, at least 1
     * @param health the classification by the health monitor
     * @param leaving whether the server is about to stop and must get no new work
     * @param labels the labels of the server
     * @return the server
     */
    public static SchedulableServer of(
            String name, String address, int slots, ServerHealth health, boolean leaving, Map<String, String> labels) {
        return new SchedulableServer(name, address, slots, health, leaving, labels, "", OptionalDouble.empty());
    }
}
