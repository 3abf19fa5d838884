package org.cassiabank.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.ProtocolException;
import java.util.Arrays;
import java.util.Objects;
import java.util.Optional;

/**
 * Hands out the bytes of a connection response by response, so that the bytes behind the end of a response stay here.
 *
 * <p>OkHttp reads ahead into a buffer that nobody else can see; there the beginning of a second response would become
 * the beginning of the response to the next request. It reads a head, a chunk size and a trailer line by line, so it is
 * handed one line at a time, the data of a chunk up to its end, and a body of a declared length up to that length.
 *
 * <p>A server that sends faster than its bytes are decoded never lets a read wait, and a virtual thread leaves its
 * carrier thread only when it waits. So the thread of a long response awaits {@link DecodingTurns its next turn} from
 * time to time; otherwise responses without end would keep all other requests of the process from running.
 *
 * <p>Confined to the thread that uses the connection.
 */
public final class ResponseInputStream extends InputStream {
    private static final int BUFFER_BYTES = 8_192;
    private static final byte[] EMPTY = {};

    /** Holds the longest head that is looked for at the end of a body. */
    private static final int END_OF_BODY_BYTES = 4_096;

    /** What the bytes that are read next belong to. */
    private enum Part {
        /** No response is expected: the next byte ends the use of the connection. */
        NONE,
        HEAD,
        CHUNKED_BODY,
        BODY_OF_DECLARED_LENGTH,
        BODY_UNTIL_END_OF_CONNECTION
    }

    private final InputStream input;
    private final HeadLineListener headLines;
    private final DecodingTurns turns;
    private Part part = Part.NONE;
    /** The rest of a body of declared length. */
    private long remainingBytes;

    private HeadFraming headFraming = HeadFraming.create();
    private ChunkFraming chunkFraming = ChunkFraming.create();
    private CloseDelimitedBody closeDelimitedBody = CloseDelimitedBody.create();
    /** The latest bytes of a body of declared length, as far as they were handed out. */
    private final ByteArrayOutputStream endOfBody = new ByteArrayOutputStream();
    /** Holds bytes from {@link #position} to {@link #limit}; allocated while there are any. */
    private byte[] buffer = EMPTY;

    private int position;
    private int limit;
    /** The {@link System#nanoTime()} at which the turn of the thread began, moved on by the time of reads since. */
    private long turnStartNanos;

    /** The bytes that were handed out in this turn. */
    private long turnBytes;

    private ResponseInputStream(InputStream input, HeadLineListener headLines, DecodingTurns turns) {
        this.input = input;
        this.headLines = headLines;
        this.turns = turns;
    }

    /**
     * Creates the stream of a connection on which no response is expected yet.
     *
     * @param input the bytes of the connection
     * @param headLines is told of each line of a head or of trailers
     * @param turns shares the processor between the responses that are decoded at the same time
     * @return the stream
     */
    public static ResponseInputStream of(InputStream input, HeadLineListener headLines, DecodingTurns turns) {
        return new ResponseInputStream(
                Objects.requireNonNull(input, "input"),
                Objects.requireNonNull(headLines, "headLines"),
                Objects.requireNonNull(turns, "turns"));
    }

    /** Expects the head of a response, or several if the first ones are interim. */
    public void beginResponse() {
        part = Part.HEAD;
        headFraming = HeadFraming.create();
        beginTurn();
        endOfBody.reset();
    }

    /**
     * Expects the body of the response whose head has been read.
     *
     * @param end how OkHttp takes the end of the body to be marked; behind a head that ends the response, nothing is
     *     expected
     * @throws ProtocolException if the head declares another end, or does not permit that the body ends with the
     *     connection
     */
    public void beginBody(BodyEnd end) throws ProtocolException {
        Optional<String> contradiction = headFraming.findContradiction(end);
        if (contradiction.isPresent()) {
            throw new ProtocolException(contradiction.get());
        }
        switch (end) {
            case BodyEnd.Head headOnly -> {
                // The response is complete, which endResponse() records.
            }
            case BodyEnd.DeclaredLength declared -> beginBody(declared.bytes());
            case BodyEnd.LastChunk lastChunk -> beginChunkedBody();
            case BodyEnd.EndOfConnection endOfConnection -> beginBodyUntilEndOfConnection();
        }
    }

    /**
     * Expects a body of a declared length.
     *
     * @param bytes the length in bytes, positive
     */
    public void beginBody(long bytes) {
        part = Part.BODY_OF_DECLARED_LENGTH;
        remainingBytes = bytes;
    }

    /** Expects a chunked body. */
    public void beginChunkedBody() {
        part = Part.CHUNKED_BODY;
        chunkFraming = ChunkFraming.create();
    }

    /** Expects a body that ends with the connection. */
    public void beginBodyUntilEndOfConnection() {
        part = Part.BODY_UNTIL_END_OF_CONNECTION;
        closeDelimitedBody = CloseDelimitedBody.create();
    }

    /**
     * Records that the response is complete.
     *
     * @return the bytes that have arrived behind its end, at most {@value #BUFFER_BYTES}
     * @throws IOException if the connection cannot be read
     */
    public byte[] endResponse() throws IOException {
        part = Part.NONE;
        remainingBytes = 0;
        if (position == limit && input.available() > 0) {
            fill();
        }
        byte[] bytesBehind = bytesBehind();
        if (bytesBehind.length == 0) {
            buffer = EMPTY;
            position = 0;
            limit = 0;
        }
        return bytesBehind;
    }

    /**
     * Waits for bytes behind the response; those that had arrived before are kept.
     *
     * @return false if the connection has ended
     * @throws IOException if the connection cannot be read, or the timeout of its socket has passed
     */
    public boolean awaitBytesBehind() throws IOException {
        byte[] former = bytesBehind();
        byte[] joined = Arrays.copyOf(former, Math.max(BUFFER_BYTES, former.length + 1));
        int readBytes = input.read(joined, former.length, joined.length - former.length);
        buffer = joined;
        position = 0;
        limit = former.length + Math.max(0, readBytes);
        return readBytes >= 0;
    }

    /**
     * Returns the bytes that have arrived behind the response and were read from the connection.
     *
     * @return a copy
     */
    public byte[] bytesBehind() {
        return Arrays.copyOfRange(buffer, position, limit);
    }

    /**
     * Returns the last bytes of a body of declared length.
     *
     * @return at most {@value #END_OF_BODY_BYTES} bytes; none of a body without a declared length
     */
    public byte[] endOfBody() {
        return endOfBody.toByteArray();
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
        if (part != Part.NONE) {
            awaitTurn();
        }
        int readBytes = readPart(bytes, offset, length);
        turnBytes += Math.max(0, readBytes);
        return readBytes;
    }

    private int readPart(byte[] bytes, int offset, int length) throws IOException {
        return switch (part) {
            case NONE -> {
                // Blocks like any read; bytes that arrive here cannot belong to a response.
                if (position == limit) {
                    fill();
                }
                yield -1;
            }
            case HEAD -> {
                int taken = readLine(bytes, offset, length);
                if (taken > 0) {
                    headFraming.recordLine(bytes, offset, taken);
                }
                if (taken > 0 && bytes[offset + taken - 1] == '\n') {
                    headLines.onHeadLine();
                }
                yield taken;
            }
            case CHUNKED_BODY -> readChunkedBody(bytes, offset, length);
            case BODY_OF_DECLARED_LENGTH -> {
                int readBytes = readBody(bytes, offset, (int) Math.min(length, remainingBytes));
                remainingBytes -= Math.max(0, readBytes);
                keepEndOfBody(bytes, offset, readBytes);
                yield readBytes;
            }
            case BODY_UNTIL_END_OF_CONNECTION -> readBodyUntilEndOfConnection(bytes, offset, length);
        };
    }

    /** Reads up to the end of a line at most, so that the bytes of the next part stay here. */
    private int readLine(byte[] bytes, int offset, int length) throws IOException {
        if (position == limit && fill() < 0) {
            return -1;
        }
        return takeBuffered(bytes, offset, Math.min(length, lengthOfLine()));
    }

    private int readChunkedBody(byte[] bytes, int offset, int length) throws IOException {
        long chunkBytes = chunkFraming.remainingBytes();
        if (chunkBytes > 0) {
            int readBytes = readBody(bytes, offset, (int) Math.min(length, chunkBytes));
            chunkFraming.recordData(Math.max(0, readBytes));
            return readBytes;
        }
        int readBytes = readLine(bytes, offset, length);
        if (readBytes > 0) {
            boolean isTrailer = chunkFraming.isInTrailers();
            chunkFraming.recordLine(bytes, offset, readBytes);
            if (isTrailer && bytes[offset + readBytes - 1] == '\n') {
                headLines.onHeadLine();
            }
        }
        return readBytes;
    }

    private int readBodyUntilEndOfConnection(byte[] bytes, int offset, int length) throws IOException {
        int readBytes = readBody(bytes, offset, length);
        if (readBytes >= 0) {
            closeDelimitedBody.record(bytes, offset, readBytes);
            return readBytes;
        }
        Optional<String> defect = closeDelimitedBody.findDefect();
        if (defect.isPresent()) {
            throw new ProtocolException(defect.get());
        }
        return readBytes;
    }

    private int readBody(byte[] bytes, int offset, int length) throws IOException {
        if (length == 0) {
            return -1;
        }
        return position < limit ? takeBuffered(bytes, offset, length) : receive(bytes, offset, length);
    }

    /** Keeps what belongs to the last bytes of the body. */
    private void keepEndOfBody(byte[] bytes, int offset, int length) {
        if (remainingBytes < END_OF_BODY_BYTES && length > 0) {
            int keptBytes = (int) Math.min(length, END_OF_BODY_BYTES - remainingBytes);
            endOfBody.write(bytes, offset + length - keptBytes, keptBytes);
        }
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

    /** Reads from the connection; a read that waits lets other threads run, so it does not belong to the turn. */
    private int receive(byte[] bytes, int offset, int length) throws IOException {
        if (input.available() > 0) {
            return input.read(bytes, offset, length);
        }
        long startNanos = System.nanoTime();
        try {
            return input.read(bytes, offset, length);
        } finally {
            turnStartNanos += System.nanoTime() - startNanos;
        }
    }

    /** Awaits the next turn if the last one is over. A short response needs a single turn, however long it takes. */
    private void awaitTurn() throws IOException {
        if (turnBytes == 0) {
            // Until now the request was written, or the thread waited for its turn.
            beginTurn();
            return;
        }
        long turnNanos = System.nanoTime() - turnStartNanos;
        if (turnBytes >= BUFFER_BYTES && turnNanos > DecodingTurns.TURN_NANOS) {
            turns.awaitTurn(turnNanos, input::available);
            beginTurn();
        }
    }

    private void beginTurn() {
        turnStartNanos = System.nanoTime();
        turnBytes = 0;
    }

    /** Is told of the lines of heads and trailers, for which objects are kept until the response is complete. */
    @FunctionalInterface
    public interface HeadLineListener {

        /**
         * Records a line that was handed out.
         *
         * @throws IOException if the response must not be read on
         */
        void onHeadLine() throws IOException;
    }
}
