package org.cassiabank.admission;

/**
 * How busy the servers of a shard are, as its scheduler sees them.
 *
 * @param leasedSlots the slots that requests hold, those of removed servers included
 * @param usableSlots the slots that may be filled now, free ones included
 * @param fullServers the healthy servers without a free slot
 * @param limitedServers the healthy servers that get test requests only, because most of their attempts failed
 * @param backingOffServers the servers whose slots are limited after they shed a request
 * @param unusedServers the servers that are not leaving and got no request for {@link #UNUSED_MILLIS}
 * @param queuedRequests the requests that wait for a slot
 * @param expiredLeases the leases whose outcome was not reported in time, since the scheduler was created
 */
public record ShardLoad(
        int leasedSlots,
        int usableSlots,
        int fullServers,
        int limitedServers,
        int backingOffServers,
        int unusedServers,
        int queuedRequests,
        long expiredLeases) {
    /** A server without a request for this time, in milliseconds, counts as unused. */
    static final long UNUSED_MILLIS = 2_000;

    /** Above this share of leased slots a burst of a few requests has to wait. */
    private static final double NEARLY_FULL_SHARE = 0.8;

    /**
     * Tells whether the servers in use can hardly carry the load.
     *
     * @return true if requests wait, or if most of the usable slots are leased
     */
    public boolean isNearlyFull() {
        return queuedRequests > 0 || leasedSlots >= NEARLY_FULL_SHARE * usableSlots;
    }
}
