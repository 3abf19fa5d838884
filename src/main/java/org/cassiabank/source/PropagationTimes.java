package org.cassiabank.source;

/**
 * The parts of the time within which a change that the store has acknowledged has to be in force at each daemon.
 *
 * <p>A daemon that follows a watcher may wait for its reply, ask the next watcher and then ask the store. All of that
 * has to fit into the bound together, whatever the watchers do.
 *
 * @param boundMillis the time from the acknowledgement of a change until it is in force, in milliseconds
 */
public record PropagationTimes(long boundMillis) {
    /** The bound where the platform names none, in milliseconds. */
    public static final long DEFAULT_BOUND_MILLIS = 2_000;

    private static final long MINIMUM_BOUND_MILLIS = 500;
    private static final int PERCENT = 100;
    private static final int RELAY_WAIT_PERCENT = 35;
    private static final int RELAY_REPLY_PERCENT = 15;

    /**
     * Checks the bound.
     *
     * @throws IllegalArgumentException if the bound is below 500 ms, less than several calls over the network take
     */
    public PropagationTimes {
        if (boundMillis < MINIMUM_BOUND_MILLIS) {
            throw new IllegalArgumentException(
                    "time until a change is in force must be at least 500 ms: " + boundMillis + " ms");
        }
    }

    /**
     * Creates the times for a bound.
     *
     * @param boundMillis the bound in milliseconds
     * @return the times
     * @throws IllegalArgumentException if the bound is below 500 ms
     */
    public static PropagationTimes of(long boundMillis) {
        return new PropagationTimes(boundMillis);
    }

    /**
     * Returns how long a watcher that is current waits for changes before it replies that there are none.
     *
     * @return the time in milliseconds
     */
    public long relayWaitMillis() {
        return boundMillis * RELAY_WAIT_PERCENT / PERCENT;
    }

    /**
     * Returns how long a watcher may take for its reply beyond its wait. One that takes longer is frozen, cut off or
     * has failed.
     *
     * @return the time in milliseconds
     */
    public long relayReplyMillis() {
        return boundMillis * RELAY_REPLY_PERCENT / PERCENT;
    }
}
