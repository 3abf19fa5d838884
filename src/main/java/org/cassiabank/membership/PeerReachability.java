package org.cassiabank.membership;

/**
 * Tracks the reachability of a proxy's peers by the proxy's own calls, so that not every request waits the full timeout
 * of a call to a peer behind a one-way network partition.
 *
 * <p>A peer is in backoff for a time after a failed call, see {@link FailureBackoff}. Instances are not thread-safe.
 * All times must come from one monotonic clock.
 */
public final class PeerReachability {
    private static final long FIRST_BACKOFF_MILLIS = 2_000;
    private static final long MAXIMUM_BACKOFF_MILLIS = 10_000;
    // After this time without a call, earlier failures are no evidence of the peer's present state.
    private static final long FAILURE_EXPIRY_MILLIS = 60_000;

    private final FailureBackoff backoff =
            FailureBackoff.create(FIRST_BACKOFF_MILLIS, MAXIMUM_BACKOFF_MILLIS, FAILURE_EXPIRY_MILLIS);

    private PeerReachability() {}

    /**
     * Creates a tracker by which every peer is reachable.
     *
     * @return the tracker
     */
    public static PeerReachability create() {
        return new PeerReachability();
    }

    /**
     * Records a call that failed or was not answered in time.
     *
     * @param peer the name of the peer
     * @param nowMillis the time in milliseconds
     */
    public void recordFailure(String peer, long nowMillis) {
        backoff.recordFailure(peer, nowMillis);
    }

    /**
     * Records a call that the peer answered. The peer is reachable at once and its earlier failures are cleared.
     *
     * @param peer the name of the peer
     * @param nowMillis the time in milliseconds
     */
    public void recordSuccess(String peer, long nowMillis) {
        backoff.recordSuccess(peer);
    }

    /**
     * Tells whether a peer may be called.
     *
     * @param peer the name of the peer
     * @param nowMillis the time in milliseconds
     * @return false while the peer is in backoff
     */
    public boolean isReachable(String peer, long nowMillis) {
        return !backoff.isInBackoff(peer, nowMillis);
    }
}
