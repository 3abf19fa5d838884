package org.cassiabank.logging;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.Objects;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.LogRecord;

/**
 * Writes log lines on one thread of its own and never blocks the threads that log. Lines that exceed the capacity of
 * the queue or the maximum rate are dropped and counted, and a later line reports their number.
 */
final class BoundedLogHandler extends Handler {
    /** Enough for a burst of a few seconds at the maximum rate, in about 1 MB. */
    private static final int MAXIMUM_QUEUED_LINES = 4_096;

    /** Ten times the rate on the heaviest day. On-call engineers store the logs of 5,400 daemons for days. */
    private static final long MAXIMUM_BYTES_PER_SECOND = 64 * 1_024;

    private static final long NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final long FLUSH_TIMEOUT_MILLIS = 500;

    private final BlockingQueue<byte[]> queuedLines = new ArrayBlockingQueue<>(MAXIMUM_QUEUED_LINES);
    private final AtomicLong droppedLines = new AtomicLong();
    private final PrintStream output;
    private final String process;
    /** The bytes that may be logged now; at most twice the bytes of a second. */
    private long availableBytes = MAXIMUM_BYTES_PER_SECOND;
    /** The {@link System#nanoTime()} up to which {@link #availableBytes} was refilled. */
    private long lastRefillNanos = System.nanoTime();

    /** The lines that were queued and are not written completely. */
    private final AtomicLong unwrittenLines = new AtomicLong();

    private BoundedLogHandler(PrintStream output, Formatter formatter, String process) {
        this.output = output;
        this.process = process;
        setFormatter(formatter);
    }

    /**
     * Starts a handler with a daemon thread that writes the lines.
     *
     * @param output receives the lines
     * @param formatter formats a record as one line
     * @param process the name of the process in the line that reports dropped lines
     */
    static BoundedLogHandler start(PrintStream output, Formatter formatter, String process) {
        BoundedLogHandler handler = new BoundedLogHandler(
                Objects.requireNonNull(output, "output"), Objects.requireNonNull(formatter, "formatter"), process);
        Thread.ofPlatform().name("log-writer").daemon().start(handler::writeQueuedLines);
        return handler;
    }

    /** Returns the number of lines that were dropped since the handler was started. */
    long droppedLines() {
        return droppedLines.get();
    }

    @Override
    public void publish(LogRecord record) {
        if (!isLoggable(record)) {
            return;
        }
        byte[] line = getFormatter().format(record).getBytes(StandardCharsets.UTF_8);
        // Counted before the line is queued, so that flush() does not miss a line that the writer has just removed.
        unwrittenLines.incrementAndGet();
        if (!tryAcquireBytes(line.length) || !queuedLines.offer(line)) {
            unwrittenLines.decrementAndGet();
            droppedLines.incrementAndGet();
        }
    }

    /** Waits until all queued lines are written, for at most {@value #FLUSH_TIMEOUT_MILLIS} ms. */
    @Override
    public void flush() {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(FLUSH_TIMEOUT_MILLIS);
        while (unwrittenLines.get() > 0 && System.nanoTime() < deadlineNanos) {
            Thread.onSpinWait();
        }
    }

    @Override
    public void close() {
        flush();
    }

    /** Subtracts the size of a line from the available bytes; returns false if too few are available. */
    private synchronized boolean tryAcquireBytes(int lineBytes) {
        long nowNanos = System.nanoTime();
        // Limited to two seconds, so that the product cannot overflow and a burst stays bounded.
        long elapsedNanos = Math.min(nowNanos - lastRefillNanos, 2 * NANOS_PER_SECOND);
        availableBytes = Math.min(
                2 * MAXIMUM_BYTES_PER_SECOND,
                availableBytes + elapsedNanos * MAXIMUM_BYTES_PER_SECOND / NANOS_PER_SECOND);
        lastRefillNanos = nowNanos;
        if (availableBytes < lineBytes) {
            return false;
        }
        availableBytes -= lineBytes;
        return true;
    }

    private void writeQueuedLines() {
        long reportedLines = 0;
        while (true) {
            try {
                byte[] line = queuedLines.take();
                try {
                    output.write(line, 0, line.length);
                } finally {
                    unwrittenLines.decrementAndGet();
                }
                long totalDroppedLines = droppedLines.get();
                if (queuedLines.isEmpty() && totalDroppedLines > reportedLines) {
                    byte[] notice = droppedLinesNotice(totalDroppedLines - reportedLines)
                            .getBytes(StandardCharsets.UTF_8);
                    output.write(notice, 0, notice.length);
                    reportedLines = totalDroppedLines;
                }
                if (queuedLines.isEmpty()) {
                    output.flush();
                }
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
                return;
            } catch (RuntimeException | Error failure) {
                // Logging the failure would fail in the same way; the count tells of it with the next line.
                droppedLines.incrementAndGet();
            }
        }
    }

    private String droppedLinesNotice(long droppedCount) {
        return "time=" + Instant.now() + " level=warning process=" + process + " logger=BoundedLogHandler message=\""
                + droppedCount + " log lines dropped\"" + System.lineSeparator();
    }
}
