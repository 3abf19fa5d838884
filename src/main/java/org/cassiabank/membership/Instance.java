package org.cassiabank.membership;

import java.util.Map;
import java.util.Objects;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * An instance in the platform's instance list.
 *
 * @param name the unique name of the instance
 * @param role the kind of process that the instance runs
 * @param address the host and port for requests: of a backend server its HTTP port, of a proxy its peer port
 * @param region the region
 * @param failureDomain the failure domain inside the region
 * @param state the state as the platform reports it
 * @param labels the labels that the instance declares for itself; label rules of the operators take precedence
 * @param slots the number of requests that the instance executes at a time, 0 if only its service declares it
 * @param incarnation a number that differs between the starts of an instance under the same name, 0 if the platform
 *     does not report it
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
    /** A host name, an IPv4 address or an IPv6 address in brackets, and a port without leading zeros. */
    private static final Pattern ADDRESS =
            Pattern.compile("([A-Za-z0-9][A-Za-z0-9._-]*|\\[[0-9A-Fa-f:.]+]):(?<port>[1-9][0-9]{0,4})");

    private static final int MAXIMUM_PORT = 65_535;

    /**
     * Checks the components and copies the labels.
     *
     * @throws NullPointerException if a component is null
     * @throws IllegalArgumentException if the address has no port or the number of slots is negative
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
     * Creates an instance without labels, with 0 slots and incarnation 0.
     *
     * @param name the unique name of the instance
     * @param role the kind of process that the instance runs
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
     * Tells whether a connection to the address can be tried at all.
     *
     * @return false if the host is no host name or IP address, or the port is not from 1 to 65535
     */
    public boolean hasUsableAddress() {
        Matcher parts = ADDRESS.matcher(address);
        return parts.matches() && Integer.parseInt(parts.group("port")) <= MAXIMUM_PORT;
    }

    /**
     * Returns the host part of the address.
     *
     * @return the host, an IP address
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
     * Returns the same instance in another state.
     *
     * @param newState the state
     * @return the instance in that state
     */
    public Instance withState(InstanceState newState) {
        return new Instance(name, role, address, region, failureDomain, newState, labels, slots, incarnation);
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
