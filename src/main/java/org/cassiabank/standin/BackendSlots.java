package org.cassiabank.standin;

/**
 * The slots of a backend stand-in and its draining state. Thread-safe.
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

    /** Takes a slot unless all are busy or the server is draining. */
    synchronized boolean tryAcquire() {
        if (draining || runningRequests >= slots) {
            return false;
        }
        runningRequests++;
        unansweredRequests++;
        return true;
    }

    /** Frees the slot. The caller then sends the response and calls {@link #recordAnswered()}. */
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

    /** Waits until all work is done and tells whether that happened in time. */
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
