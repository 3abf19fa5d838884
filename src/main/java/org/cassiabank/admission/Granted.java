package org.cassiabank.admission;

import java.util.Objects;

/**
 * A slot is leased to the entry.
 *
 * @param lease the number of the lease, reported back when the request ends
 * @param server the name of the server
 * @param address the host and port of the server
 * @param leaseMillis the time after which the lease expires, in milliseconds
 * @param hedgeAfterMillis the time after which a hedge is worth its cost, in milliseconds; 0 when none is
 */
public record Granted(long lease, String server, String address, long leaseMillis, long hedgeAfterMillis)
        implements SlotDecision {

    /**
     * Checks that no component is null.
     */
    public Granted {
        Objects.requireNonNull(server, "server");
        Objects.requireNonNull(address, "address");
    }
}
