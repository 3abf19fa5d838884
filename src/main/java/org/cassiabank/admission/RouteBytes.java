package org.cassiabank.admission;

/**
 * The mean bytes of the messages of one route, and the cost of sending them to another failure domain.
 *
 * <p>Addresses load whose large messages fill narrow links between failure domains.
 */
final class RouteBytes {
    /** The cost in another failure domain of messages that are small, or whose bytes do not count. */
    static final double SMALL_MESSAGES_COST_LEASES = 0.5;

    /** Exceeds the slots of any server, so that another failure domain is used only if the own one has no free slot. */
    static final double LARGE_MESSAGES_COST_LEASES = 1_000_000;

    /** Messages up to this size fit into one packet with their headers. */
    private static final double SMALL_BYTES = 500;

    /** At 10 Mbit/s a transfer of this size takes 52 ms, longer than most waits for a slot. */
    private static final double LARGE_BYTES = 65_536;

    /** One more lease for each 4.5 KB, so that messages of 5 KB cost 1.5 leases. */
    private static final double BYTES_PER_LEASE = 4_500;

    /** Assumed before the first response; costs 1.1 leases. */
    private static final double INITIAL_BYTES = 3_000;

    /** The mean covers about this many responses, as many as that of the service times. */
    private static final int MEAN_RESPONSES = 64;

    private int responses;
    private double meanBytes = INITIAL_BYTES;

    void record(MessageBytes bytes) {
        responses = Math.min(responses + 1, MEAN_RESPONSES);
        meanBytes += (bytes.total() - meanBytes) / responses;
    }

    /** Returns the cost of a server in another failure domain than the entry proxy with narrow links, in leases. */
    double otherDomainCostLeases() {
        if (meanBytes >= LARGE_BYTES) {
            return LARGE_MESSAGES_COST_LEASES;
        }
        return SMALL_MESSAGES_COST_LEASES + Math.max(0, meanBytes - SMALL_BYTES) / BYTES_PER_LEASE;
    }
}
