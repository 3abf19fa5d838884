package org.cassiabank.load;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Supplier;
import org.cassiabank.membership.Instance;
import org.cassiabank.membership.InstanceRole;
import org.cassiabank.membership.InstanceState;

/**
 * A proxy or backend server of a test fleet, whose process can be stopped and started again. Thread-safe.
 */
public final class FleetMember {
    private final String name;
    private final InstanceRole role;
    private final String failureDomain;
    private final String address;
    private final String listedAddress;
    private final String controlUrl;
    private final Supplier<ChildProcess> processStarter;
    private volatile Optional<ChildProcess> process = Optional.empty();
    private volatile InstanceState listedState = InstanceState.LIVE;

    private FleetMember(
            String name,
            InstanceRole role,
            String failureDomain,
            List<String> addresses,
            Supplier<ChildProcess> processStarter) {
        this.name = Objects.requireNonNull(name, "name");
        this.role = role;
        this.failureDomain = failureDomain;
        this.address = addresses.get(0);
        this.listedAddress = addresses.get(1);
        this.controlUrl = "http://" + addresses.get(2);
        this.processStarter = processStarter;
    }

    /** Creates a backend server, which has a single address for requests, health checks and control pages. */
    static FleetMember backend(
            String name, String failureDomain, String address, Supplier<ChildProcess> processStarter) {
        return new FleetMember(
                name, InstanceRole.BACKEND, failureDomain, List.of(address, address, address), processStarter);
    }

    /** Creates a proxy from its addresses for callers, peers and administration, in this order. */
    static FleetMember proxy(
            String name, String failureDomain, List<String> addresses, Supplier<ChildProcess> processStarter) {
        return new FleetMember(name, InstanceRole.PROXY, failureDomain, addresses, processStarter);
    }

    /**
     * Returns the name of the member, which is also its name in the instance list.
     *
     * @return the name
     */
    public String name() {
        return name;
    }

    /**
     * Returns the address that accepts requests of callers.
     *
     * @return IP address and port
     */
    public String address() {
        return address;
    }

    /**
     * Returns the base URL of the control pages of a backend server or of the admin pages of a proxy.
     *
     * @return the URL without a slash at the end
     */
    public String controlUrl() {
        return controlUrl;
    }

    /**
     * Returns the process that was started last; it may have exited.
     *
     * @return the process
     * @throws IllegalStateException if no process was started yet
     */
    public ChildProcess process() {
        return process.orElseThrow(() -> new IllegalStateException(name + " was not started"));
    }

    /**
     * Sets the state that the next publication of the instance list contains.
     *
     * @param newState the state
     */
    public void setListedState(InstanceState newState) {
        listedState = newState;
    }

    /** Starts a new process for this member. */
    void start() {
        process = Optional.of(processStarter.get());
    }

    /** Kills the process if one was started. */
    void close() {
        process.ifPresent(ChildProcess::close);
    }

    /** Returns this member as an instance of the instance list. */
    Instance toInstance(String region) {
        return Instance.of(name, role, listedAddress, region, failureDomain, listedState);
    }
}
