package org.cassiabank.source;

import java.util.Objects;

/**
 * Decides whom a daemon asks for changes of the store and for how long, from how old the evidence is that its state is
 * current. Instances are immutable.
 *
 * <p>As long as the store replies in time on a new connection, the evidence never gets older than {@link
 * PropagationTimes#relayEndAgeMillis} and the time of two replies, whatever the watchers do and if the open connection
 * to the store is silent.
 */
final class FollowPlan {
    /** A change that a watch returns within this time most likely happened before the call. */
    private static final long SERIES_DETECTION_MILLIS = 300;

    private final PropagationTimes times;

    private FollowPlan(PropagationTimes times) {
        this.times = times;
    }

    static FollowPlan of(PropagationTimes times) {
        return new FollowPlan(Objects.requireNonNull(times, "times"));
    }

    /**
     * Returns the next step.
     *
     * @param ageMillis the age of the evidence in milliseconds
     * @param watcher whether this daemon watches the store for its peers
     * @param storeUsable whether a call to the store may succeed
     * @return the step
     */
    FollowStep next(long ageMillis, boolean watcher, boolean storeUsable) {
        if (storeUsable && (watcher || ageMillis >= times.storeReadAgeMillis())) {
            return watchStore(ageMillis);
        }
        long waitMillis = Math.clamp(
                times.confirmationMillis() - ageMillis, times.shortestWaitMillis(), times.confirmationMillis());
        // A daemon that cannot ask the store gains nothing by giving up on the watchers early.
        long totalMillis = storeUsable
                ? Math.max(times.relayEndAgeMillis() - ageMillis, times.replyMillis())
                : waitMillis + 2 * times.replyMillis();
        return new FollowStep.AskWatchers(waitMillis, totalMillis);
    }

    /**
     * Returns the next step after all watchers were asked in vain.
     *
     * @param ageMillis the age of the evidence in milliseconds
     * @param storeUsable whether a call to the store may succeed
     * @return the step
     */
    FollowStep afterNoWatcherReplied(long ageMillis, boolean storeUsable) {
        return storeUsable ? watchStore(ageMillis) : new FollowStep.Pause(times.batchMillis());
    }

    /**
     * Returns how long to collect further changes before the next step. Less than a batch if the state would become too
     * old meanwhile: the response to a watch confirms it only as of the start of the call.
     *
     * @param relayed whether the latest changes came from a watcher, which has collected them already
     * @param callMillis how long the call took that returned them, in milliseconds
     * @param ageMillis the age of the evidence in milliseconds
     * @return the pause in milliseconds
     */
    long pauseAfterChanges(boolean relayed, long callMillis, long ageMillis) {
        long batchMillis = relayed
                ? times.relayBatchMillis()
                : callMillis < SERIES_DETECTION_MILLIS ? times.seriesBatchMillis() : times.batchMillis();
        long longestAgeMillis = relayed ? times.confirmationMillis() : times.watchMillis();
        return Math.clamp(longestAgeMillis - ageMillis, 0, batchMillis);
    }

    /**
     * Returns how long to wait before the next step after a call that returned no changes, so that a store that ends
     * watches early is not called all the time.
     *
     * @param callMillis how long the call took, in milliseconds
     * @param ageMillis the age of the evidence in milliseconds
     * @return the pause in milliseconds
     */
    long pauseAfterNoChanges(long callMillis, long ageMillis) {
        long pauseMillis = Math.max(0, times.shortestWaitMillis() - callMillis);
        return Math.clamp(times.confirmationMillis() - ageMillis, 0, pauseMillis);
    }

    private FollowStep watchStore(long ageMillis) {
        return new FollowStep.WatchStore(Math.max(1, times.watchMillis() - ageMillis));
    }
}
