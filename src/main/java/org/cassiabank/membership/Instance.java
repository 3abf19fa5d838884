package org.cassiabank.membership;

import java.util.Map;
import java.util.Objects;

/**
 * One instance of the platform's list.
 *
 * @param name the unique name of the instance
 * @param role what the instance runs
 * @param address the host and port for requests: of a backend server its HTTP port, of a proxy its peer port
 * @param region the region
 * @param failureDomain the failure domain inside the region
 * @param state the state as the platform reports it
 * @param labels the labels that the instance states of itself; rules of the operators go before them
 * @param slots the number of requests that the instance runs at a time, 0 if only its service declares it
 * @param incarnation distinguishes the starts of an instance that keeps its name, 0 if the platform does not tell
 */
public record Instance(
        String name,
        InstanceRole role,
        String address,
        String region,
        String failureDomain,
        InstanceState state,
        Map<String, String> labels,
        int slots,
        long incarnation) {

    /**
     * Checks that no component is null, that the address has a port and that the number of slots is not negative.
     */
    public Instance {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(role, "role");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(region, "region");
        Objects.requireNonNull(failureDomain, "failureDomain");
        Objects.requireNonNull(state, "state");
        labels = Map.copyOf(labels);
        if (slots < 0) {
            throw new IllegalArgumentException("slots of " + name + " are negative: " + slots);
        }
        if (address.lastIndexOf(':') <= 0) {
            throw new IllegalArgumentException("address of " + name + " has no port: " + address);
        }
    }

    /**
     * Creates an instance that states nothing of itself but its place.
     *
     * @param name the unique name of the instance
     * @param role what the instance runs
     * @param address the host and port for requests
     * @param region the region
     * @param failureDomain the failure domain inside the region
     * @param state the state as the platform reports it
     * @return the instance
     */
    public static Instance of(
            String name, InstanceRole role, String address, String region, String failureDomain, InstanceState state) {
        return new Instance(name, role, address, region, failureDomain, state, Map.of(), 0, 0);
    }

    /**
     * Returns the host part of the address.
     *
     * @return the host, an IP number
     */
    public String host() {
        return address.substring(0, address.lastIndexOf(':'));
    }

    /**
     * Returns the port part of the address.
     *
     * @return the port
     * @throws NumberFormatException if the port is not a number
     */
    public int port() {
        return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
    }

    /**
     * Tells whether the platform lists the instance as live.
     *
     * @return true if it is live, false if it is leaving
     */
    public boolean isLive() {
        return state == InstanceState.LIVE;
    }
}
