package org.cassiabank.membership;

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
 */
public record Instance(
        String name, InstanceRole role, String address, String region, String failureDomain, InstanceState state) {

    /**
     * Checks that no component is null and that the address has a port.
     */
    public Instance {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(role, "role");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(region, "region");
        Objects.requireNonNull(failureDomain, "failureDomain");
        Objects.requireNonNull(state, "state");
        if (address.lastIndexOf(':') <= 0) {
            throw new IllegalArgumentException("address of " + name + " has no port: " + address);
        }
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
