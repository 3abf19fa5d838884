package org.cassiabank.admission;

import java.util.Objects;

/**
 * A slot is leased to the entry proxy.
 *
 * @param leaseId the number of the lease, reported back when the request ends
 * @param serverName the name of the server
 * @param address the host and port of the server
 * @param leaseDurationMillis the time after which the lease expires, in milliseconds
 * @param hedgeDelayMillis the time after which a hedge is worth its cost, in milliseconds; 0 when none is
 */
public record Granted(long leaseId, String serverName, String address, long leaseDurationMillis, long hedgeDelayMillis)
        implements SlotDecision {

    /**
     * Checks that no component is null.
     */
    public Granted {
        Objects.requireNonNull(serverName, "serverName");
        Objects.requireNonNull(address, "address");
    }
}
