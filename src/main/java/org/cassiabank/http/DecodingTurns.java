package org.cassiabank.http;

import java.io.IOException;
import java.io.InterruptedIOException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Shares the processor between long responses, or connections of peers with many calls, that are decoded at the same
 * time: they are decoded in turns, and between two turns the processor is free for other work.
 *
 * <p>A virtual thread that waits for its turn is resumed by a timer. {@link Thread#yield()} is not enough: as soon as
 * two threads yield on one carrier thread, it resumes them in turn and starts no thread that becomes ready elsewhere.
 *
 * <p>Instances are thread-safe.
 */
public final class DecodingTurns {
    /** The time in nanoseconds for which a response is decoded without a pause. */
    public static final long TURN_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

    /** In a longer turn the thread did not decode all the time: its process was stopped, or it did other work. */
    private static final long MAXIMUM_TURN_NANOS = 10 * TURN_NANOS;

    /** Leaves half of one processor to other work. */
    private static final int INTERVAL_PER_TURN = 2;

    /** Unused turns may follow one another without a pause, which is enough for one large response. */
    private static final long CREDIT_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    /** A response whose connection was closed ends within this time. */
    private static final long EXAMINATION_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    /** The {@link System#nanoTime()} at which the next turn begins, which may have passed. */
    private final AtomicLong nextTurnNanos;

    private DecodingTurns(long nowNanos) {
        nextTurnNanos = new AtomicLong(nowNanos);
    }

    /**
     * Creates turns for the responses of one client, or the calls to one server.
     *
     * @return the turns
     */
    public static DecodingTurns create() {
        return startingAt(System.nanoTime());
    }

    /** Creates turns of which the first begins at the given {@link System#nanoTime()}. */
    static DecodingTurns startingAt(long nowNanos) {
        return new DecodingTurns(nowNanos);
    }

    /**
     * Waits for the next turn of the current thread. Turns are given in the order of the calls.
     *
     * @param lastTurnNanos how long the last turn of the thread was, in nanoseconds
     * @param connection is examined while the turn is awaited
     * @throws IOException if the connection was closed
     * @throws InterruptedIOException if the thread is interrupted; the interrupt status is kept
     */
    public void awaitTurn(long lastTurnNanos, Connection connection) throws IOException {
        long intervalNanos = intervalNanos(lastTurnNanos);
        long startNanos = reserve(System.nanoTime(), intervalNanos);
        boolean taken = false;
        try {
            // A thread whose turn has come waits too, so that it is resumed behind those that are ready.
            long remainingNanos = Math.max(1, startNanos - System.nanoTime());
            while (remainingNanos > 0) {
                TimeUnit.NANOSECONDS.sleep(Math.min(remainingNanos, EXAMINATION_NANOS));
                connection.requireOpen();
                remainingNanos = startNanos - System.nanoTime();
            }
            taken = true;
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw (IOException) new InterruptedIOException("interrupted before the next turn").initCause(exception);
        } finally {
            if (!taken && startNanos - System.nanoTime() > 0) {
                // Later turns move up; otherwise those of many closed connections would put them off.
                nextTurnNanos.addAndGet(-intervalNanos);
            }
        }
    }

    /** Returns the {@link System#nanoTime()} at which the turn begins, which may have passed. */
    long reserveTurn(long nowNanos, long lastTurnNanos) {
        return reserve(nowNanos, intervalNanos(lastTurnNanos));
    }

    private static long intervalNanos(long lastTurnNanos) {
        return INTERVAL_PER_TURN * Math.min(lastTurnNanos, MAXIMUM_TURN_NANOS);
    }

    private long reserve(long nowNanos, long intervalNanos) {
        return nextTurnNanos.updateAndGet(next -> nowNanos + Math.max(next - nowNanos, -CREDIT_NANOS) + intervalNanos);
    }

    /** The connection of a response. */
    @FunctionalInterface
    public interface Connection {

        /**
         * Examines the connection.
         *
         * @throws IOException if it was closed
         */
        void requireOpen() throws IOException;
    }
}
