package org.cassiabank.logging;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against logging that blocks requests or queues lines without bound when the output is not read, and against
 * dropped lines that are not reported.
 */
@Timeout(30)
class BoundedLogHandlerTest {

    @Test
    void linesAreWrittenInTheOrderOfPublication() {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        BoundedLogHandler handler = startHandler(output);
        handler.publish(new LogRecord(Level.INFO, "first"));
        handler.publish(new LogRecord(Level.INFO, "second"));
        handler.flush();
        String text = output.toString(StandardCharsets.UTF_8);
        assertThat(text.indexOf("first")).isNotNegative().isLessThan(text.indexOf("second"));
    }

    @Test
    void aBlockedOutputDoesNotBlockLoggingThreadsAndDroppedLinesAreReported() {
        CountDownLatch readerResumed = new CountDownLatch(1);
        ByteArrayOutputStream writtenBytes = new ByteArrayOutputStream();
        OutputStream blockedOutput = new OutputStream() {
            @Override
            public void write(int value) throws IOException {
                try {
                    readerResumed.await();
                } catch (InterruptedException exception) {
                    throw new IOException(exception);
                }
                synchronized (writtenBytes) {
                    writtenBytes.write(value);
                }
            }
        };
        BoundedLogHandler handler = startHandler(blockedOutput);
        String message = "x".repeat(1_000);
        for (int line = 0; line < 10_000; line++) {
            handler.publish(new LogRecord(Level.INFO, message));
        }
        long dropped = handler.droppedLines();
        assertThat(dropped).isBetween(5_000L, 9_999L);
        readerResumed.countDown();
        while (!textOf(writtenBytes).contains("log lines dropped")) {
            Thread.onSpinWait();
        }
        assertThat(textOf(writtenBytes).lines().filter(line -> line.contains("log lines dropped")))
                .allMatch(line -> line.startsWith("time="));
    }

    /** A daemon flushes the log before it ends, and its last line says why. */
    @Test
    void flushingWaitsForALineThatTheWriterHasJustTaken() {
        for (int round = 0; round < 300; round++) {
            ByteArrayOutputStream output = new ByteArrayOutputStream();
            BoundedLogHandler handler = startHandler(output);
            handler.publish(new LogRecord(Level.INFO, "last"));
            handler.flush();
            assertThat(output.size()).as("round %d", round).isPositive();
        }
    }

    private static String textOf(ByteArrayOutputStream writtenBytes) {
        synchronized (writtenBytes) {
            return writtenBytes.toString(StandardCharsets.UTF_8);
        }
    }

    private static BoundedLogHandler startHandler(OutputStream output) {
        return BoundedLogHandler.start(new PrintStream(output, true), LogLineFormatter.of("test"), "test");
    }
}
