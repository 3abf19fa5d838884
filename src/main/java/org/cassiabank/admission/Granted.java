package org.cassiabank.admission;

import java.util.Objects;

/**
 * The decision that a slot is leased to the entry proxy.
 *
 * @param leaseId the identifier of the lease, with which the outcome of the request is reported
 * @param serverName the name of the server
 * @param address the host and port of the server
 * @param leaseDurationMillis the time after which the lease expires, in milliseconds
 * @param hedgeDelayMillis the time after which a hedge may start, in milliseconds; 0 if none may
 */
public record Granted(long leaseId, String serverName, String address, long leaseDurationMillis, long hedgeDelayMillis)
        implements SlotDecision {

    /**
     * Checks the names.
     *
     * @throws NullPointerException if the server name or the address is null
     */
    public Granted {
        Objects.requireNonNull(serverName, "serverName");
        Objects.requireNonNull(address, "address");
    }
}
