package org.cassiabank.standin;

/**
 * Counts the busy slots and the unanswered requests of a backend stand-in and keeps its draining state. Thread-safe.
 */
final class BackendSlots {
    private final int slots;
    private int runningRequests;
    private int unansweredRequests;
    private boolean draining;

    private BackendSlots(int slots) {
        this.slots = slots;
    }

    static BackendSlots create(int slots) {
        return new BackendSlots(slots);
    }

    /** Acquires a slot and returns true, or returns false if all slots are busy or the server is draining. */
    synchronized boolean tryAcquire() {
        if (draining || runningRequests >= slots) {
            return false;
        }
        runningRequests++;
        unansweredRequests++;
        return true;
    }

    /** Releases a slot. The calling code then sends the response and calls {@link #recordAnswered()}. */
    synchronized void release() {
        runningRequests--;
    }

    synchronized void recordAnswered() {
        unansweredRequests--;
        notifyAll();
    }

    synchronized void startDraining() {
        draining = true;
    }

    synchronized boolean isDraining() {
        return draining;
    }

    synchronized int runningRequests() {
        return runningRequests;
    }

    /** Waits until all requests are answered; returns false if that took longer than the timeout in milliseconds. */
    synchronized boolean awaitAllAnswered(long timeoutMillis) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + timeoutMillis * 1_000_000;
        while (unansweredRequests > 0) {
            long remainingMillis = (deadlineNanos - System.nanoTime()) / 1_000_000;
            if (remainingMillis <= 0) {
                return false;
            }
            wait(remainingMillis);
        }
        return true;
    }
}
