package org.cassiabank.proxy;

import java.util.concurrent.atomic.AtomicReference;

/**
 * Tells whether a caller still waits for its reply, and runs an action when it no longer does.
 */
final class CallerPresence {
    private static final Runnable NOTHING = () -> {};
    private static final Runnable GONE = () -> {};

    private final AtomicReference<Runnable> action = new AtomicReference<>(NOTHING);

    private CallerPresence() {}

    static CallerPresence create() {
        return new CallerPresence();
    }

    boolean isGone() {
        return action.get() == GONE;
    }

    /** Sets the action that replaces the former one; it runs at once if the caller has already gone. */
    void onGone(Runnable newAction) {
        Runnable previous = action.getAndUpdate(current -> current == GONE ? GONE : newAction);
        if (previous == GONE) {
            newAction.run();
        }
    }

    void markGone() {
        action.getAndSet(GONE).run();
    }
}
