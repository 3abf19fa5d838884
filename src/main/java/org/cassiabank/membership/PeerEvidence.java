package org.cassiabank.membership;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

/**
 * What a proxy's own calls show about its peers, so that a peer behind a one-way cut does not cost every request the
 * full timeout of a call.
 *
 * <p>A peer is skipped for a time after a failed call. The time doubles with each failure that follows a skip, up to a
 * limit; calls that were already under way when the skip began do not lengthen it. Instances are not thread-safe. Times
 * have to come from one clock that does not go back.
 */
public final class PeerEvidence {
    private static final long FIRST_SKIP_MILLIS = 2_000;
    private static final long MAXIMUM_SKIP_MILLIS = 10_000;
    // After this time without a call the earlier failures say nothing about the peer's present state.
    private static final long FORGET_MILLIS = 60_000;

    private final Map<String, Skip> skips = new HashMap<>();

    private PeerEvidence() {}

    /**
     * Creates evidence without calls, by which every peer is reachable.
     *
     * @return the evidence
     */
    public static PeerEvidence create() {
        return new PeerEvidence();
    }

    /**
     * Notes a call that failed or was not answered in time.
     *
     * @param peer the name of the peer
     * @param nowMillis the time in milliseconds
     */
    public void recordFailure(String peer, long nowMillis) {
        Objects.requireNonNull(peer, "peer");
        skips.values().removeIf(skip -> nowMillis >= skip.untilMillis + FORGET_MILLIS);
        Skip last = skips.get(peer);
        if (last == null) {
            skips.put(peer, new Skip(FIRST_SKIP_MILLIS, nowMillis + FIRST_SKIP_MILLIS));
        } else if (nowMillis >= last.untilMillis) {
            long length = Math.min(2 * last.lengthMillis, MAXIMUM_SKIP_MILLIS);
            skips.put(peer, new Skip(length, nowMillis + length));
        }
    }

    /**
     * Notes a call that the peer answered; the peer is reachable at once and its earlier failures are forgotten.
     *
     * @param peer the name of the peer
     * @param nowMillis the time in milliseconds
     */
    public void recordSuccess(String peer, long nowMillis) {
        skips.remove(Objects.requireNonNull(peer, "peer"));
    }

    /**
     * Tells whether a peer is to be called.
     *
     * @param peer the name of the peer
     * @param nowMillis the time in milliseconds
     * @return false while the peer is skipped
     */
    public boolean isReachable(String peer, long nowMillis) {
        Skip skip = skips.get(Objects.requireNonNull(peer, "peer"));
        return skip == null || nowMillis >= skip.untilMillis;
    }

    /**
     * The last skip of a peer.
     *
     * @param lengthMillis its length in milliseconds
     * @param untilMillis its end in milliseconds
     */
    private record Skip(long lengthMillis, long untilMillis) {}
}
