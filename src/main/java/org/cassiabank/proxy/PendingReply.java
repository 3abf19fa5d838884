package org.cassiabank.proxy;

import com.google.common.flogger.FluentLogger;
import io.netty.util.concurrent.EventExecutor;
import java.util.concurrent.Future;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.function.LongConsumer;

/**
 * The only reply to a request that was read. The first reply counts, whichever thread it comes from; if the handler
 * returns none, the request is given up soon after its deadline, because later requests of its connection wait behind
 * it.
 *
 * <p>Instances are thread-safe.
 */
final class PendingReply {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int LOG_INTERVAL_SECONDS = 1;

    /**
     * The time after its deadline, or after a pause that its deadline falls into, within which a handler replies. It
     * includes handlers that wait for the reply of a peer.
     */
    private static final long OVERDUE_MILLIS = 400;

    /** A timer that fires later than this after its time shows that the process was paused. */
    private static final long PAUSE_MILLIS = 100;

    private final EventExecutor eventLoop;
    private final Consumer<CallerReply> writer;
    private final Runnable onConnectionLost;
    private final Runnable onOverdue;
    private final AtomicBoolean complete = new AtomicBoolean();
    private volatile Future<?> overdueTimer;

    private PendingReply(
            EventExecutor eventLoop, Consumer<CallerReply> writer, Runnable onConnectionLost, Runnable onOverdue) {
        this.eventLoop = eventLoop;
        this.writer = writer;
        this.onConnectionLost = onConnectionLost;
        this.onOverdue = onOverdue;
    }

    /**
     * Creates the pending reply to a request.
     *
     * @param eventLoop the event loop of the connection
     * @param writer writes the reply; called exactly once, on the event loop
     * @param onConnectionLost called instead of the writer if the event loop has ended, and the connection with it
     * @param onOverdue called on the event loop when the handler has not replied in time; it completes this reply
     * @return the pending reply
     */
    static PendingReply create(
            EventExecutor eventLoop, Consumer<CallerReply> writer, Runnable onConnectionLost, Runnable onOverdue) {
        return new PendingReply(eventLoop, writer, onConnectionLost, onOverdue);
    }

    /**
     * Replies to the request, unless it has been replied to.
     *
     * @param reply the reply
     */
    void complete(CallerReply reply) {
        if (!complete.compareAndSet(false, true)) {
            LOGGER.atWarning().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
                    "a reply with status %d came after its request had been given up", reply.status());
            return;
        }
        try {
            eventLoop.execute(() -> {
                cancelTimer();
                writer.accept(reply);
            });
        } catch (RejectedExecutionException exception) {
            LOGGER.atFine().withCause(exception).log("the server was closed while a request ran");
            onConnectionLost.run();
        }
    }

    /**
     * States when the handler has to have replied.
     *
     * @param millis the time from now in milliseconds
     */
    void expectWithin(long millis) {
        // The response of the server may arrive during a pause, and the handler does not run until its end either.
        schedule(millis, lateMillis -> giveUpLater(lateMillis <= PAUSE_MILLIS));
    }

    /** Runs a task with the time by which its timer is late, unless the request has been replied to by then. */
    private void schedule(long delayMillis, LongConsumer task) {
        long dueNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(delayMillis);
        try {
            overdueTimer = eventLoop.schedule(
                    () -> {
                        if (!complete.get()) {
                            task.accept(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - dueNanos));
                        }
                    },
                    delayMillis,
                    TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException exception) {
            LOGGER.atFine().withCause(exception).log("the server was closed while a request ran");
        }
    }

    private void giveUpLater(boolean waitsAfterPause) {
        schedule(OVERDUE_MILLIS, lateMillis -> giveUp(lateMillis, waitsAfterPause));
    }

    /** Gives the request up, after a pause of this process once a little later: it may be short of time for good. */
    private void giveUp(long lateMillis, boolean waitsAfterPause) {
        if (waitsAfterPause && lateMillis > PAUSE_MILLIS) {
            LOGGER.atWarning().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
                    "a request past its deadline gets %d ms more: this process was paused, its timer is %d ms late",
                    OVERDUE_MILLIS, lateMillis);
            giveUpLater(false);
            return;
        }
        onOverdue.run();
    }

    private void cancelTimer() {
        Future<?> timer = overdueTimer;
        if (timer != null) {
            timer.cancel(false);
        }
    }
}
