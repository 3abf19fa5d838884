package org.cassiabank.health;

import java.util.ArrayList;
import java.util.List;

/**
 * The attempts at one server that exceeded the slowness threshold while in flight, recognised by their start times.
 *
 * <p>It lets each attempt count once per level of slowness, however often it is observed and whether or not its end is
 * reported.
 */
final class OverdueAttempts {
    // The caller truncates the time to milliseconds at each observation, so the start moves by up to 1 ms.
    private static final long START_TOLERANCE_MICROS = 2_000;
    private static final long SEEN_MILLIS = 250;
    private static final long FORGET_MILLIS = 120_000;
    private static final int LIMIT = 64;

    private final List<Attempt> attempts = new ArrayList<>();

    /**
     * Notes that an attempt is in flight and overdue.
     *
     * @param startMicros the start of the attempt in microseconds
     * @param level how often its time exceeds the usual time by the slow factor, at least 1
     * @param isStalled whether it also exceeds the route's longest usual times
     * @param nowMillis the time in milliseconds
     * @return true if the attempt was not noted at this level before
     */
    boolean note(long startMicros, int level, boolean isStalled, long nowMillis) {
        Attempt known = find(startMicros);
        if (known == null) {
            attempts.removeIf(attempt -> attempt.seenMillis < nowMillis - FORGET_MILLIS);
            if (attempts.size() == LIMIT) {
                attempts.removeFirst();
            }
            attempts.add(new Attempt(startMicros, level, isStalled, nowMillis));
            return true;
        }
        known.isStalled |= isStalled;
        known.seenMillis = nowMillis;
        boolean isHigher = level > known.level;
        known.level = Math.max(level, known.level);
        return isHigher;
    }

    /**
     * Forgets an attempt that has ended.
     *
     * @param startMicros the start of the attempt in microseconds
     * @return true if the attempt had been noted
     */
    boolean finish(long startMicros) {
        Attempt known = find(startMicros);
        return known != null && attempts.remove(known);
    }

    int stalled(long nowMillis) {
        int count = 0;
        for (Attempt attempt : attempts) {
            if (attempt.isStalled && attempt.seenMillis >= nowMillis - SEEN_MILLIS) {
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

    /** One overdue attempt. */
    private static final class Attempt {
        private final long startMicros;
        private int level;
        private boolean isStalled;
        private long seenMillis;

        private Attempt(long startMicros, int level, boolean isStalled, long seenMillis) {
            this.startMicros = startMicros;
            this.level = level;
            this.isStalled = isStalled;
            this.seenMillis = seenMillis;
        }
    }
}
