package org.cassiabank.standin;

/**
 * The slots of a backend stand-in and its draining state. Thread-safe.
 */
final class BackendSlots {
    private final int slots;
    private int running;
    private int unanswered;
    private boolean draining;

    private BackendSlots(int slots) {
        this.slots = slots;
    }

    static BackendSlots create(int slots) {
        return new BackendSlots(slots);
    }

    /** Takes a slot unless all are busy or the server is draining. */
    synchronized boolean enter() {
        if (draining || running >= slots) {
            return false;
        }
        running++;
        unanswered++;
        return true;
    }

    /** Frees the slot. The caller then sends the response and calls {@link #answered()}. */
    synchronized void leave() {
        running--;
    }

    synchronized void answered() {
        unanswered--;
        notifyAll();
    }

    synchronized void drain() {
        draining = true;
    }

    synchronized boolean isDraining() {
        return draining;
    }

    synchronized int running() {
        return running;
    }

    /** Waits until all work is done and tells whether that happened in time. */
    synchronized boolean awaitIdle(long millis) throws InterruptedException {
        long end = System.nanoTime() + millis * 1_000_000;
        while (unanswered > 0) {
            long left = (end - System.nanoTime()) / 1_000_000;
            if (left <= 0) {
                return false;
            }
            wait(left);
        }
        return true;
    }
}
