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

/** Guards against a log that blocks requests or grows without bound, and against lines that vanish without a word. */
@Timeout(30)
class BoundedLogHandlerTest {

    @Test
    void linesAreWrittenInOrder() {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        BoundedLogHandler handler = start(output);
        handler.publish(new LogRecord(Level.INFO, "first"));
        handler.publish(new LogRecord(Level.INFO, "second"));
        handler.flush();
        String text = output.toString(StandardCharsets.UTF_8);
        assertThat(text.indexOf("first")).isNotNegative().isLessThan(text.indexOf("second"));
    }

    @Test
    void aReaderThatDoesNotReadBlocksNobodyAndTheLossIsCounted() {
        CountDownLatch reading = new CountDownLatch(1);
        ByteArrayOutputStream read = new ByteArrayOutputStream();
        OutputStream stuck = new OutputStream() {
            @Override
            public void write(int value) throws IOException {
                try {
                    reading.await();
                } catch (InterruptedException exception) {
                    throw new IOException(exception);
                }
                synchronized (read) {
                    read.write(value);
                }
            }
        };
        BoundedLogHandler handler = start(stuck);
        String message = "x".repeat(1_000);
        for (int line = 0; line < 10_000; line++) {
            handler.publish(new LogRecord(Level.INFO, message));
        }
        long dropped = handler.dropped();
        assertThat(dropped).isBetween(5_000L, 9_999L);
        reading.countDown();
        while (!text(read).contains("log lines dropped")) {
            Thread.onSpinWait();
        }
    }

    private static String text(ByteArrayOutputStream read) {
        synchronized (read) {
            return read.toString(StandardCharsets.UTF_8);
        }
    }

    private static BoundedLogHandler start(OutputStream output) {
        return BoundedLogHandler.start(new PrintStream(output, true), LogLineFormatter.of("test"), "test");
    }
}
