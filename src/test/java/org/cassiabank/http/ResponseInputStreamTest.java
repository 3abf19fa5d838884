package org.cassiabank.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against connections whose bytes never run out and that keep the carrier threads from all other requests. */
@Timeout(60)
class ResponseInputStreamTest {
    private static final int READ_BYTES = 8_192;
    /** Needs more than one turn if its first one is long. */
    private static final int BODY_BYTES = 3 * READ_BYTES;

    private static final long PAUSE_NANOS = TimeUnit.SECONDS.toNanos(1);

    @ParameterizedTest
    @EnumSource(Part.class)
    void otherThreadsRunWhileConnectionsSendWithoutEnd(Part part) throws InterruptedException {
        AtomicBoolean ended = new AtomicBoolean();
        // More readers than carrier threads, of which none ever waits.
        int readerCount = 2 * Runtime.getRuntime().availableProcessors();
        DecodingTurns turns = DecodingTurns.create();
        CountDownLatch readersRunning = new CountDownLatch(1);
        CountDownLatch otherHasRun = new CountDownLatch(1);
        try {
            for (int number = 0; number < readerCount; number++) {
                Thread.startVirtualThread(() -> readUntil(ended, part, turns, readersRunning));
            }
            readersRunning.await();
            Thread.startVirtualThread(otherHasRun::countDown);
            assertThat(otherHasRun.await(10, TimeUnit.SECONDS)).isTrue();
        } finally {
            ended.set(true);
        }
    }

    /** The deployed daemon has one carrier thread. */
    @Test
    void otherThreadsRunWhileSeveralThreadsOfOneCarrierReadConnectionsThatSendWithoutEnd()
            throws IOException, InterruptedException {
        Process process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Djdk.virtualThreadScheduler.parallelism=1",
                        "-cp",
                        System.getProperty("java.class.path"),
                        OneCarrier.class.getName())
                .inheritIO()
                .start();
        assertThat(process.waitFor()).isZero();
    }

    @Test
    void aLongResponseToASlowUploadIsReadAtOnce() throws IOException, InterruptedException {
        ResponseInputStream input = ResponseInputStream.of(EndlessInput.ofChunks(), () -> {}, DecodingTurns.create());
        input.beginResponse();
        TimeUnit.SECONDS.sleep(2);
        input.beginBody(Long.MAX_VALUE);
        long startNanos = System.nanoTime();
        assertThat(input.readNBytes(8 * READ_BYTES)).hasSize(8 * READ_BYTES);
        assertThat(System.nanoTime() - startNanos).isLessThan(TimeUnit.SECONDS.toNanos(1));
    }

    @Test
    void anIdleConnectionIsExaminedWithoutAPauseForTheTimeItWasIdle() throws Exception {
        ResponseInputStream input = beginBody(BODY_BYTES);
        assertThat(input.readNBytes(BODY_BYTES)).hasSize(BODY_BYTES);
        input.endResponse();
        TimeUnit.NANOSECONDS.sleep(PAUSE_NANOS);
        assertThat(nanosOf(() -> assertThat(input.read()).isEqualTo(-1))).isLessThan(PAUSE_NANOS);
    }

    @Test
    void aResponseIsReadWithoutAPauseForTheTimeInWhichItsRequestWasWritten() throws Exception {
        ResponseInputStream input = beginBody(BODY_BYTES);
        TimeUnit.NANOSECONDS.sleep(PAUSE_NANOS);
        assertThat(nanosOf(() -> assertThat(input.readNBytes(BODY_BYTES)).hasSize(BODY_BYTES)))
                .isLessThan(PAUSE_NANOS);
    }

    @Test
    void aResponseIsReadWithoutAPauseForTheTimeInWhichTheProcessWasStopped() throws Exception {
        ResponseInputStream input = beginBody(BODY_BYTES);
        assertThat(input.readNBytes(READ_BYTES)).hasSize(READ_BYTES);
        TimeUnit.NANOSECONDS.sleep(PAUSE_NANOS);
        assertThat(nanosOf(() -> assertThat(input.read()).isNotNegative())).isLessThan(PAUSE_NANOS);
    }

    /** A read that finds bytes occupies the processor, as copying and decoding them does. */
    @Test
    void readsThatDoNotWaitBelongToTheTurn() throws Exception {
        int reads = 100;
        ResponseInputStream input =
                ResponseInputStream.of(new OccupyingInput(), () -> {}, DecodingTurns.startingAt(System.nanoTime()));
        input.beginResponse();
        input.beginBodyUntilEndOfConnection();
        byte[] bytes = new byte[READ_BYTES];
        long nanos = nanosOf(() -> {
            for (int read = 0; read < reads; read++) {
                assertThat(input.read(bytes)).isPositive();
            }
        });
        // Half of the time is left to others, apart from unused turns before.
        assertThat(nanos).isGreaterThan(reads * OccupyingInput.READ_NANOS * 3 / 2);
    }

    private static ResponseInputStream beginBody(long bytes) {
        ResponseInputStream input = ResponseInputStream.of(EndlessInput.ofChunks(), () -> {}, DecodingTurns.create());
        input.beginResponse();
        input.beginBody(bytes);
        return input;
    }

    private static long nanosOf(Reading reading) throws IOException {
        long startNanos = System.nanoTime();
        reading.read();
        return System.nanoTime() - startNanos;
    }

    private static void readUntil(AtomicBoolean ended, Part part, DecodingTurns turns, CountDownLatch running) {
        ResponseInputStream input = ResponseInputStream.of(part.input.get(), () -> {}, turns);
        input.beginResponse();
        part.begin.accept(input);
        byte[] bytes = new byte[READ_BYTES];
        try {
            while (!ended.get() && input.read(bytes) > 0) {
                running.countDown();
            }
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    /** Reads from a connection. */
    @FunctionalInterface
    private interface Reading {
        void read() throws IOException;
    }

    private enum Part {
        HEAD(EndlessInput::ofHead, input -> {}),
        CHUNKED_BODY(EndlessInput::ofChunks, ResponseInputStream::beginChunkedBody),
        BODY_OF_DECLARED_LENGTH(EndlessInput::ofChunks, input -> input.beginBody(Long.MAX_VALUE)),
        BODY_UNTIL_END_OF_CONNECTION(EndlessInput::ofChunks, ResponseInputStream::beginBodyUntilEndOfConnection);

        private final Supplier<InputStream> input;
        private final Consumer<ResponseInputStream> begin;

        Part(Supplier<InputStream> input, Consumer<ResponseInputStream> begin) {
            this.input = input;
            this.begin = begin;
        }
    }

    /** Short lines without end, which are always there at once. */
    private static final class EndlessInput extends InputStream {
        private final byte[] start;
        private final byte[] repeated;
        private long position;

        private EndlessInput(String start, String repeated) {
            super();
            this.start = start.getBytes(StandardCharsets.US_ASCII);
            this.repeated = repeated.getBytes(StandardCharsets.US_ASCII);
        }

        static InputStream ofHead() {
            return new EndlessInput("HTTP/1.1 200 OK\r\n", "a:b\r\n");
        }

        /** Returns chunks of one byte. */
        static InputStream ofChunks() {
            return new EndlessInput("", "1\r\na\r\n");
        }

        @Override
        public int read() {
            long index = position++;
            return index < start.length
                    ? start[(int) index]
                    : repeated[(int) ((index - start.length) % repeated.length)];
        }

        @Override
        public int read(byte[] bytes, int offset, int length) {
            for (int index = offset; index < offset + length; index++) {
                bytes[index] = (byte) read();
            }
            return length;
        }
    }

    /** Bytes that are always there, each read of which occupies the processor. */
    private static final class OccupyingInput extends InputStream {
        private static final long READ_NANOS = 2 * DecodingTurns.TURN_NANOS;

        @Override
        public int read() {
            throw new UnsupportedOperationException("only arrays are read");
        }

        @Override
        public int read(byte[] bytes, int offset, int length) {
            long startNanos = System.nanoTime();
            while (System.nanoTime() - startNanos < READ_NANOS) {
                Thread.onSpinWait();
            }
            return length;
        }

        @Override
        public int available() {
            return READ_BYTES;
        }
    }

    /** A process with one carrier thread; its exit code is 0 if other threads run beside endless responses. */
    static final class OneCarrier {
        private OneCarrier() {}

        public static void main(String[] arguments) throws InterruptedException {
            AtomicBoolean ended = new AtomicBoolean();
            DecodingTurns turns = DecodingTurns.create();
            CountDownLatch readersRunning = new CountDownLatch(2);
            // Threads that a virtual thread starts wait in the queue of its carrier thread.
            Thread.startVirtualThread(() -> {
                Thread.startVirtualThread(() -> readUntil(ended, Part.HEAD, turns, readersRunning));
                Thread.startVirtualThread(() -> readUntil(ended, Part.HEAD, turns, readersRunning));
            });
            readersRunning.await();
            CountDownLatch otherHasRun = new CountDownLatch(1);
            Thread.startVirtualThread(otherHasRun::countDown);
            boolean hasRun = otherHasRun.await(10, TimeUnit.SECONDS);
            Runtime.getRuntime().halt(hasRun ? 0 : 1);
        }
    }
}
