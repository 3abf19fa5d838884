package org.cassiabank.backend;

import java.io.IOException;
import java.io.InputStream;
import java.util.Arrays;
import java.util.Objects;
import java.util.concurrent.TimeUnit;

/**
 * Hands out the bytes of a connection response by response, so that the bytes behind the end of a response stay here.
 *
 * <p>OkHttp reads ahead into a buffer that nobody else can see; there the beginning of a second response would become
 * the beginning of the response to the next request. It reads a head, a chunk size and a trailer line by line, so it is
 * handed one line at a time, and a chunk or a body of a declared length only up to that length.
 *
 * <p>A server that sends faster than its bytes are decoded never lets a read wait, and a virtual thread leaves its
 * carrier thread only when it waits. So the thread yields from time to time; otherwise one response without end would
 * keep all other requests of the process from running.
 *
 * <p>Confined to the thread that uses the connection.
 */
final class ResponseInputStream extends InputStream {
    private static final int BUFFER_BYTES = 8_192;
    private static final byte[] EMPTY = {};
    private static final int HEXADECIMAL = 16;
    /** The time for which the thread decodes bytes until others that are ready run. */
    private static final long TURN_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

    /** What the bytes that are read next belong to. */
    private enum Part {
        /** No response is expected: the next byte ends the use of the connection. */
        NONE,
        HEAD,
        CHUNKED_BODY,
        TRAILERS,
        BODY_OF_DECLARED_LENGTH,
        BODY_UNTIL_END_OF_CONNECTION
    }

    private final InputStream input;
    private final HeadLineListener headLines;
    private Part part = Part.NONE;
    /** The rest of a body of declared length, or of a chunk. */
    private long remainingBytes;
    /** What the line before a chunk declares so far; confined to a chunked body like the next two. */
    private long chunkBytes;

    private boolean sizeComplete;
    /** Whether the line that ends a chunk comes next, whose content OkHttp ignores. */
    private boolean chunkEnds;
    /** Holds bytes from {@link #position} to {@link #limit}; allocated while there are any. */
    private byte[] buffer = EMPTY;

    private int position;
    private int limit;
    /** The {@link System#nanoTime()} at which the thread last yielded, moved on by the time of reads since. */
    private long turnStartNanos;

    private ResponseInputStream(InputStream input, HeadLineListener headLines) {
        this.input = input;
        this.headLines = headLines;
    }

    /**
     * Creates the stream of a connection on which no response is expected yet.
     *
     * @param input the bytes of the connection
     * @param headLines is told of each line of a head or of trailers
     * @return the stream
     */
    static ResponseInputStream of(InputStream input, HeadLineListener headLines) {
        return new ResponseInputStream(
                Objects.requireNonNull(input, "input"), Objects.requireNonNull(headLines, "headLines"));
    }

    /** Expects the head of a response, or several if the first ones are interim. */
    void beginResponse() {
        part = Part.HEAD;
        turnStartNanos = System.nanoTime();
    }

    /** Expects a chunked body. */
    void beginChunkedBody() {
        part = Part.CHUNKED_BODY;
        remainingBytes = 0;
        chunkEnds = false;
        beginSizeLine();
    }

    private void beginSizeLine() {
        chunkBytes = 0;
        sizeComplete = false;
    }

    /**
     * Expects a body of a declared length.
     *
     * @param bytes the length in bytes, positive
     */
    void beginBody(long bytes) {
        part = Part.BODY_OF_DECLARED_LENGTH;
        remainingBytes = bytes;
    }

    /** Expects a body that ends with the connection. */
    void beginBodyUntilEndOfConnection() {
        part = Part.BODY_UNTIL_END_OF_CONNECTION;
    }

    /**
     * Records that the response is complete.
     *
     * @return the bytes that have arrived behind its end, at most {@value #BUFFER_BYTES}
     * @throws IOException if the connection cannot be read
     */
    byte[] endResponse() throws IOException {
        part = Part.NONE;
        remainingBytes = 0;
        if (position == limit && input.available() > 0) {
            fill();
        }
        byte[] bytesBehind = Arrays.copyOfRange(buffer, position, limit);
        if (bytesBehind.length == 0) {
            buffer = EMPTY;
            position = 0;
            limit = 0;
        }
        return bytesBehind;
    }

    /** Returns the number of bytes that have arrived and were not handed out, as far as that is known. */
    @Override
    public int available() throws IOException {
        return limit - position + input.available();
    }

    @Override
    public int read() throws IOException {
        byte[] single = new byte[1];
        return read(single, 0, 1) < 0 ? -1 : single[0] & 0xff;
    }

    @Override
    public int read(byte[] bytes, int offset, int length) throws IOException {
        Objects.checkFromIndexSize(offset, length, bytes.length);
        if (length == 0) {
            return 0;
        }
        yieldAfterTurn();
        return switch (part) {
            case NONE -> {
                // Blocks like any read; bytes that arrive here cannot belong to a response.
                if (position == limit) {
                    fill();
                }
                yield -1;
            }
            case HEAD, TRAILERS -> {
                int taken = readLine(bytes, offset, length);
                if (taken > 0 && bytes[offset + taken - 1] == '\n') {
                    headLines.onHeadLine();
                }
                yield taken;
            }
            case CHUNKED_BODY -> {
                if (remainingBytes > 0) {
                    yield readBody(bytes, offset, (int) Math.min(length, remainingBytes));
                }
                int taken = readLine(bytes, offset, length);
                for (int index = offset; index < offset + taken; index++) {
                    followChunkLine(bytes[index]);
                }
                yield taken;
            }
            case BODY_OF_DECLARED_LENGTH -> readBody(bytes, offset, (int) Math.min(length, remainingBytes));
            case BODY_UNTIL_END_OF_CONNECTION -> readBody(bytes, offset, length);
        };
    }

    private int readLine(byte[] bytes, int offset, int length) throws IOException {
        if (position == limit && fill() < 0) {
            return -1;
        }
        return takeBuffered(bytes, offset, Math.min(length, lengthOfLine()));
    }

    /** Follows the lines between the chunks; what is handed out at once never exceeds the end of a line. */
    private void followChunkLine(byte value) {
        if (value == '\n' && chunkEnds) {
            chunkEnds = false;
        } else if (value == '\n' && chunkBytes == 0) {
            part = Part.TRAILERS;
        } else if (value == '\n') {
            remainingBytes = chunkBytes;
            chunkEnds = true;
            beginSizeLine();
        } else if (!chunkEnds && !sizeComplete) {
            int digit = Character.digit(value, HEXADECIMAL);
            sizeComplete = digit < 0 || chunkBytes > Integer.MAX_VALUE;
            chunkBytes = sizeComplete ? chunkBytes : HEXADECIMAL * chunkBytes + digit;
        }
    }

    private int readBody(byte[] bytes, int offset, int length) throws IOException {
        if (length == 0) {
            return -1;
        }
        int readBytes = position < limit ? takeBuffered(bytes, offset, length) : receive(bytes, offset, length);
        remainingBytes -= Math.max(0, readBytes);
        return readBytes;
    }

    private int takeBuffered(byte[] bytes, int offset, int length) {
        int taken = Math.min(length, limit - position);
        System.arraycopy(buffer, position, bytes, offset, taken);
        position += taken;
        return taken;
    }

    /** Returns the number of buffered bytes up to the end of the first line, or of all if no line ends. */
    private int lengthOfLine() {
        for (int index = position; index < limit; index++) {
            if (buffer[index] == '\n') {
                return index + 1 - position;
            }
        }
        return limit - position;
    }

    /** Reads into the empty buffer and returns the number of bytes, -1 at the end of the connection. */
    private int fill() throws IOException {
        if (buffer.length == 0) {
            buffer = new byte[BUFFER_BYTES];
        }
        int readBytes = receive(buffer, 0, buffer.length);
        position = 0;
        limit = Math.max(0, readBytes);
        return readBytes;
    }

    /** Reads from the connection; a read that waits lets other threads run anyway. */
    private int receive(byte[] bytes, int offset, int length) throws IOException {
        long startNanos = System.nanoTime();
        try {
            return input.read(bytes, offset, length);
        } finally {
            turnStartNanos += System.nanoTime() - startNanos;
        }
    }

    private void yieldAfterTurn() {
        if (System.nanoTime() - turnStartNanos > TURN_NANOS) {
            Thread.yield();
            turnStartNanos = System.nanoTime();
        }
    }

    /** Is told of the lines of heads and trailers, for which objects are kept until the response is complete. */
    @FunctionalInterface
    interface HeadLineListener {

        /**
         * Records a line that was handed out.
         *
         * @throws IOException if the response must not be read on
         */
        void onHeadLine() throws IOException;
    }
}
