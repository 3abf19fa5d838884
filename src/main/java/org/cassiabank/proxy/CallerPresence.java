package org.cassiabank.proxy;

import java.util.concurrent.atomic.AtomicReference;

/**
 * Tells whether a caller is still connected while its request is answered, and runs an action when it disconnects.
 *
 * <p>Instances are thread-safe.
 */
final class CallerPresence {
    private static final Runnable NO_ACTION = () -> {};
    private static final Runnable CALLER_GONE = () -> {};

    private final AtomicReference<Runnable> departureAction = new AtomicReference<>(NO_ACTION);

    private CallerPresence() {}

    static CallerPresence create() {
        return new CallerPresence();
    }

    boolean isGone() {
        return departureAction.get() == CALLER_GONE;
    }

    /** Replaces the action that runs when the caller disconnects; runs it at once if the caller has disconnected. */
    void onGone(Runnable newAction) {
        Runnable previous = departureAction.getAndUpdate(current -> current == CALLER_GONE ? CALLER_GONE : newAction);
        if (previous == CALLER_GONE) {
            newAction.run();
        }
    }

    void markGone() {
        departureAction.getAndSet(CALLER_GONE).run();
    }
}
