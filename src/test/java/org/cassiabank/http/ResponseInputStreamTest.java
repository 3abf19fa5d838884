package org.cassiabank.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against connections whose bytes never run out and that keep the carrier threads from all other requests. */
@Timeout(60)
class ResponseInputStreamTest {
    private static final int READ_BYTES = 8_192;

    @ParameterizedTest
    @EnumSource(Part.class)
    void otherThreadsRunWhileConnectionsSendWithoutEnd(Part part) throws InterruptedException {
        AtomicBoolean ended = new AtomicBoolean();
        // More readers than carrier threads, of which none ever waits.
        int readerCount = 2 * Runtime.getRuntime().availableProcessors();
        CountDownLatch readersRunning = new CountDownLatch(1);
        CountDownLatch otherHasRun = new CountDownLatch(1);
        try {
            for (int number = 0; number < readerCount; number++) {
                Thread.startVirtualThread(() -> readUntil(ended, part, readersRunning));
            }
            readersRunning.await();
            Thread.startVirtualThread(otherHasRun::countDown);
            assertThat(otherHasRun.await(10, TimeUnit.SECONDS)).isTrue();
        } finally {
            ended.set(true);
        }
    }

    private static void readUntil(AtomicBoolean ended, Part part, CountDownLatch running) {
        ResponseInputStream input = ResponseInputStream.of(new EndlessInput(), () -> {});
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

    private enum Part {
        HEAD(input -> {}),
        CHUNKED_BODY(ResponseInputStream::beginChunkedBody),
        BODY_OF_DECLARED_LENGTH(input -> input.beginBody(Long.MAX_VALUE)),
        BODY_UNTIL_END_OF_CONNECTION(ResponseInputStream::beginBodyUntilEndOfConnection);

        private final Consumer<ResponseInputStream> begin;

        Part(Consumer<ResponseInputStream> begin) {
            this.begin = begin;
        }
    }

    /** Short lines without end, which are always there at once; as a chunked body they are chunks of one byte. */
    private static final class EndlessInput extends InputStream {
        private static final byte[] CHUNK = "1\r\na\r\n".getBytes(StandardCharsets.US_ASCII);

        private int position;

        @Override
        public int read() {
            position = (position + 1) % CHUNK.length;
            return CHUNK[(position + CHUNK.length - 1) % CHUNK.length];
        }

        @Override
        public int read(byte[] bytes, int offset, int length) {
            for (int index = offset; index < offset + length; index++) {
                bytes[index] = (byte) read();
            }
            return length;
        }
    }
}
