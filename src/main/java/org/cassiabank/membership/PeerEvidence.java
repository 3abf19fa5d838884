package org.cassiabank.membership;

import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Remembers which peers did not answer, because the instance list lags and cannot show a one-way partition.
 *
 * <p>Instances are safe for use by many threads.
 */
public final class PeerEvidence {
    private static final long FIRST_SKIP_MILLIS = 2_000;
    private static final long LONGEST_SKIP_MILLIS = 10_000;

    private final Map<String, Failures> failures = new ConcurrentHashMap<>();

    private PeerEvidence() {}

    /**
     * Creates evidence under which all peers are reachable.
     *
     * @return the evidence
     */
    public static PeerEvidence create() {
        return new PeerEvidence();
    }

    /**
     * Records that a peer did not answer a call.
     *
     * @param peer the name of the peer
     * @param nowMillis the current time in milliseconds
     */
    public void recordFailure(String peer, long nowMillis) {
        Objects.requireNonNull(peer, "peer");
        failures.compute(peer, (name, known) -> {
            if (known == null) {
                return new Failures(FIRST_SKIP_MILLIS, nowMillis + FIRST_SKIP_MILLIS);
            }
            if (nowMillis < known.skipUntilMillis()) {
                // Calls that were under way together count as one failure.
                return known;
            }
            long skip = Math.min(LONGEST_SKIP_MILLIS, 2 * known.skipMillis());
            return new Failures(skip, nowMillis + skip);
        });
    }

    /**
     * Records that a peer answered a call.
     *
     * @param peer the name of the peer
     * @param nowMillis the current time in milliseconds
     */
    public void recordSuccess(String peer, long nowMillis) {
        Objects.requireNonNull(peer, "peer");
        failures.remove(peer);
    }

    /**
     * Tells whether a peer is worth a call.
     *
     * @param peer the name of the peer
     * @param nowMillis the current time in milliseconds
     * @return false while a peer that did not answer is skipped: 2 s, doubled for each further failure up to 10 s
     */
    public boolean isReachable(String peer, long nowMillis) {
        Failures known = failures.get(peer);
        return known == null || nowMillis >= known.skipUntilMillis();
    }

    /** How long a peer is skipped and until when. */
    private record Failures(long skipMillis, long skipUntilMillis) {}
}
