package org.cassiabank.source;

/**
 * What a daemon does next to learn of changes of the store.
 */
public sealed interface FollowStep {

    /**
     * Waits for changes at the store.
     *
     * @param waitMillis the longest wait in milliseconds
     */
    record WatchStore(long waitMillis) implements FollowStep {}

    /**
     * Waits for changes at the watchers.
     *
     * @param waitMillis the longest wait at a watcher that is current, in milliseconds
     * @param totalMillis the time in milliseconds by which all calls together have ended
     */
    record AskWatchers(long waitMillis, long totalMillis) implements FollowStep {}

    /**
     * Asks nobody for a while, because nobody can be asked.
     *
     * @param pauseMillis the time in milliseconds
     */
    record Pause(long pauseMillis) implements FollowStep {}
}
