package org.cassiabank.health;

import java.util.ArrayList;
import java.util.List;

/**
 * The attempts at one server that became overdue while in flight, identified by their start times.
 *
 * <p>Each attempt counts once per slowness level, however often it is observed and whether or not its end is reported.
 */
final class OverdueAttempts {
    // The caller truncates the time to milliseconds at each observation, so the start moves by up to 1 ms.
    private static final long START_TOLERANCE_MICROS = 2_000;
    private static final long STALLED_OBSERVATION_MILLIS = 250;
    private static final long EXPIRY_MILLIS = 120_000;
    private static final int MAXIMUM_ATTEMPTS = 64;

    private final List<Attempt> attempts = new ArrayList<>();

    /**
     * Records an attempt that is in flight and overdue.
     *
     * @param startMicros the start of the attempt in microseconds
     * @param slownessLevel the power of the slow factor by which its latency exceeds the typical one, rounded down, at
     *     least 1
     * @param isStalled whether its latency also exceeds a multiple of the tail latency of the route
     * @param nowMillis the time in milliseconds
     * @return true if the attempt had not been recorded at this level or a higher one
     */
    boolean recordOverdue(long startMicros, int slownessLevel, boolean isStalled, long nowMillis) {
        Attempt recorded = find(startMicros);
        if (recorded == null) {
            attempts.removeIf(attempt -> attempt.lastObservedMillis < nowMillis - EXPIRY_MILLIS);
            if (attempts.size() == MAXIMUM_ATTEMPTS) {
                attempts.removeFirst();
            }
            attempts.add(new Attempt(startMicros, slownessLevel, isStalled, nowMillis));
            return true;
        }
        recorded.isStalled |= isStalled;
        recorded.lastObservedMillis = nowMillis;
        boolean isHigher = slownessLevel > recorded.slownessLevel;
        recorded.slownessLevel = Math.max(slownessLevel, recorded.slownessLevel);
        return isHigher;
    }

    /**
     * Removes an attempt that has ended.
     *
     * @param startMicros the start of the attempt in microseconds
     * @return true if the attempt had been recorded
     */
    boolean remove(long startMicros) {
        Attempt recorded = find(startMicros);
        return recorded != null && attempts.remove(recorded);
    }

    int countStalled(long nowMillis) {
        int count = 0;
        for (Attempt attempt : attempts) {
            if (attempt.isStalled && attempt.lastObservedMillis >= nowMillis - STALLED_OBSERVATION_MILLIS) {
                count++;
            }
        }
        return count;
    }

    private Attempt find(long startMicros) {
        for (Attempt attempt : attempts) {
            if (Math.abs(attempt.startMicros - startMicros) <= START_TOLERANCE_MICROS) {
                return attempt;
            }
        }
        return null;
    }

    /** An overdue attempt with its latest observation. */
    private static final class Attempt {
        private final long startMicros;
        private int slownessLevel;
        private boolean isStalled;
        private long lastObservedMillis;

        private Attempt(long startMicros, int slownessLevel, boolean isStalled, long lastObservedMillis) {
            this.startMicros = startMicros;
            this.slownessLevel = slownessLevel;
            this.isStalled = isStalled;
            this.lastObservedMillis = lastObservedMillis;
        }
    }
}
