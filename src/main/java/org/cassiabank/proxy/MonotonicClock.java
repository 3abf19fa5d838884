package org.cassiabank.proxy;

import java.util.concurrent.TimeUnit;

/**
 * Reads the monotonic clock of the process, which does not jump when the time of day is set.
 */
final class MonotonicClock {

    private MonotonicClock() {}

    /**
     * Returns the time since an arbitrary origin, which may be negative.
     *
     * @return the time in milliseconds
     */
    static long millis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }
}
