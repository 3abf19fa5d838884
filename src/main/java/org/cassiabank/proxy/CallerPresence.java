package org.cassiabank.proxy;

import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongConsumer;

/**
 * Tells whether a caller is still connected while its request is answered, and runs an action when it disconnects.
 *
 * <p>Instances are thread-safe.
 */
final class CallerPresence {
    private static final Runnable NO_ACTION = () -> {};
    private static final Runnable CALLER_GONE = () -> {};

    private final AtomicReference<Runnable> departureAction = new AtomicReference<>(NO_ACTION);

    private final LongConsumer replyDeadline;

    private CallerPresence(LongConsumer replyDeadline) {
        this.replyDeadline = replyDeadline;
    }

    /** Creates the presence of a caller whose wait for the reply is limited elsewhere. */
    static CallerPresence create() {
        return create(millis -> {});
    }

    /**
     * Creates the presence of a caller.
     *
     * @param replyDeadline receives the time in milliseconds for which the caller waits for the reply
     * @return the presence
     */
    static CallerPresence create(LongConsumer replyDeadline) {
        return new CallerPresence(replyDeadline);
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

    /**
     * States how long the caller waits for the reply from now on, as soon as this is known.
     *
     * @param millis the time in milliseconds
     */
    void awaitReplyFor(long millis) {
        replyDeadline.accept(millis);
    }

    void markGone() {
        departureAction.getAndSet(CALLER_GONE).run();
    }
}
