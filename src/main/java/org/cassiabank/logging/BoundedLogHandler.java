package org.cassiabank.logging;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.LogRecord;

/**
 * Writes log lines from one thread and never blocks the threads that log. Lines beyond the queue or the rate are
 * dropped and counted, and a later line says how many.
 */
final class BoundedLogHandler extends Handler {
    /** Holds a burst of a few seconds at the rate limit, in about 1 MB. */
    private static final int QUEUED_LINES = 4_096;

    /** A second of the heaviest day writes a tenth of this; on-call engineers keep days of it for 5,400 daemons. */
    private static final long BYTES_PER_SECOND = 64 * 1_024;

    private static final long NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final long FLUSH_MILLIS = 500;

    private final BlockingQueue<byte[]> lines = new ArrayBlockingQueue<>(QUEUED_LINES);
    private final AtomicLong dropped = new AtomicLong();
    private final PrintStream output;
    private final String process;
    private long allowance = BYTES_PER_SECOND;
    private long allowanceAtNanos = System.nanoTime();
    private volatile boolean writing;

    private BoundedLogHandler(PrintStream output, Formatter formatter, String process) {
        this.output = output;
        this.process = process;
        setFormatter(formatter);
    }

    static BoundedLogHandler start(PrintStream output, Formatter formatter, String process) {
        BoundedLogHandler handler = new BoundedLogHandler(
                Objects.requireNonNull(output, "output"), Objects.requireNonNull(formatter, "formatter"), process);
        Thread.ofPlatform().name("log-writer").daemon().start(handler::write);
        return handler;
    }

    /** Returns the number of lines that were dropped since the start. */
    long dropped() {
        return dropped.get();
    }

    @Override
    public void publish(LogRecord entry) {
        if (!isLoggable(entry)) {
            return;
        }
        byte[] line = getFormatter().format(entry).getBytes(StandardCharsets.UTF_8);
        if (!isWithinRate(line.length) || !lines.offer(line)) {
            dropped.incrementAndGet();
        }
    }

    /** Waits until all lines are written, for half a second at most. */
    @Override
    public void flush() {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(FLUSH_MILLIS);
        while ((writing || !lines.isEmpty()) && System.nanoTime() < deadline) {
            Thread.onSpinWait();
        }
    }

    @Override
    public void close() {
        flush();
    }

    private synchronized boolean isWithinRate(int bytes) {
        long now = System.nanoTime();
        // At most two seconds count, so that the product cannot overflow and a burst stays bounded.
        long elapsed = Math.min(now - allowanceAtNanos, 2 * NANOS_PER_SECOND);
        allowance = Math.min(2 * BYTES_PER_SECOND, allowance + elapsed * BYTES_PER_SECOND / NANOS_PER_SECOND);
        allowanceAtNanos = now;
        if (allowance < bytes) {
            return false;
        }
        allowance -= bytes;
        return true;
    }

    private void write() {
        long reported = 0;
        while (true) {
            try {
                writing = false;
                byte[] line = lines.take();
                writing = true;
                output.write(line, 0, line.length);
                long total = dropped.get();
                if (lines.isEmpty() && total > reported) {
                    byte[] notice = droppedNotice(total - reported).getBytes(StandardCharsets.UTF_8);
                    output.write(notice, 0, notice.length);
                    reported = total;
                }
                if (lines.isEmpty()) {
                    output.flush();
                }
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private String droppedNotice(long count) {
        return "level=warning process=" + process + " logger=BoundedLogHandler message=\"" + count
                + " log lines dropped\"" + System.lineSeparator();
    }
}
