package org.cassiabank.membership;

/**
 * What a proxy's own calls show about its peers, so that a peer behind a one-way cut does not cost every request the
 * full timeout of a call.
 *
 * <p>A peer is skipped for a time after a failed call, see {@link FailureBackoff}. Instances are not thread-safe. Times
 * have to come from one clock that does not go back.
 */
public final class PeerReachability {
    private static final long FIRST_SKIP_MILLIS = 2_000;
    private static final long MAXIMUM_SKIP_MILLIS = 10_000;
    // After this time without a call the earlier failures say nothing about the peer's present state.
    private static final long FORGET_MILLIS = 60_000;

    private final FailureBackoff backoff = FailureBackoff.create(FIRST_SKIP_MILLIS, MAXIMUM_SKIP_MILLIS, FORGET_MILLIS);

    private PeerReachability() {}

    /**
     * Creates evidence without calls, by which every peer is reachable.
     *
     * @return the evidence
     */
    public static PeerReachability create() {
        return new PeerReachability();
    }

    /**
     * Notes a call that failed or was not answered in time.
     *
     * @param peer the name of the peer
     * @param nowMillis the time in milliseconds
     */
    public void recordFailure(String peer, long nowMillis) {
        backoff.recordFailure(peer, nowMillis);
    }

    /**
     * Notes a call that the peer answered; the peer is reachable at once and its earlier failures are forgotten.
     *
     * @param peer the name of the peer
     * @param nowMillis the time in milliseconds
     */
    public void recordSuccess(String peer, long nowMillis) {
        backoff.recordSuccess(peer);
    }

    /**
     * Tells whether a peer is to be called.
     *
     * @param peer the name of the peer
     * @param nowMillis the time in milliseconds
     * @return false while the peer is skipped
     */
    public boolean isReachable(String peer, long nowMillis) {
        return !backoff.isSkipped(peer, nowMillis);
    }
}
