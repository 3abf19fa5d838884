package org.cassiabank.source;

/**
 * The parts of the time within which a change that the store has acknowledged has to be in force at each daemon.
 *
 * <p>A daemon counts from the moment as of which its state is known to be current. Its sources confirm the state again
 * before that is {@link #confirmationMillis} old; if they do not, it asks another source, and the store itself when
 * {@link #storeReadAgeMillis} have passed. The rest of the bound is for the store's reply and for putting the change
 * into force.
 *
 * @param boundMillis the time from the acknowledgement of a change until it is in force, in milliseconds
 */
public record PropagationTimes(long boundMillis) {
    /** The bound where the platform names none, in milliseconds. */
    public static final long DEFAULT_BOUND_MILLIS = 2_000;

    private static final long MINIMUM_BOUND_MILLIS = 500;
    private static final int PERCENT = 100;
    private static final int WATCH_PERCENT = 35;
    private static final int CONFIRMATION_PERCENT = 40;
    private static final int SHORTEST_WAIT_PERCENT = 10;
    private static final int REPLY_PERCENT = 15;
    private static final int STORE_READ_AGE_PERCENT = 50;
    private static final int RELAY_END_AGE_PERCENT = 65;
    private static final int BATCH_PERCENT = 20;
    private static final int RELAY_BATCH_PERCENT = 10;

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
     * Returns how old the state of a daemon that watches the store is at most when the store confirms it again.
     *
     * @return the age in milliseconds
     */
    public long watchMillis() {
        return part(WATCH_PERCENT);
    }

    /**
     * Returns how old the state of a daemon that follows a watcher is at most when the watcher confirms it again.
     *
     * @return the age in milliseconds, longer than that of a watcher
     */
    public long confirmationMillis() {
        return part(CONFIRMATION_PERCENT);
    }

    /**
     * Returns the shortest wait at a watcher, and the shortest time between two calls that return no changes.
     *
     * @return the time in milliseconds
     */
    public long shortestWaitMillis() {
        return part(SHORTEST_WAIT_PERCENT);
    }

    /**
     * Returns how long the store or a watcher may take for its reply beyond the wait that it was asked for. One that
     * takes longer is frozen, cut off or has failed, or the connection is silent.
     *
     * @return the time in milliseconds
     */
    public long replyMillis() {
        return part(REPLY_PERCENT);
    }

    /**
     * Returns the age of its state from which on a daemon asks no watcher but the store, and tells no peer about it.
     *
     * @return the age in milliseconds
     */
    public long storeReadAgeMillis() {
        return part(STORE_READ_AGE_PERCENT);
    }

    /**
     * Returns the age of the state of a daemon by which its calls to watchers end, so that it can still ask the store.
     *
     * @return the age in milliseconds
     */
    public long relayEndAgeMillis() {
        return part(RELAY_END_AGE_PERCENT);
    }

    /**
     * Returns the pause after changes from the store, so that changes in quick succession are fetched by one call.
     *
     * @return the pause in milliseconds
     */
    public long batchMillis() {
        return part(BATCH_PERCENT);
    }

    /**
     * Returns the pause after changes from the store while they keep arriving, as in a rollout.
     *
     * @return the pause in milliseconds, no longer than a wait for changes
     */
    public long seriesBatchMillis() {
        return watchMillis();
    }

    /**
     * Returns the pause after changes that a watcher has passed on, which arrive in the batches of that watcher.
     *
     * @return the pause in milliseconds
     */
    public long relayBatchMillis() {
        return part(RELAY_BATCH_PERCENT);
    }

    private long part(int percent) {
        return boundMillis * percent / PERCENT;
    }
}
