package org.cassiabank.backend;

import java.util.Objects;
import org.cassiabank.http.ResponseTooLargeException;

/**
 * Limits the bytes of one response, including those that belong to no body: OkHttp buffers a chunk line or a sequence
 * of interim responses of any length. Limits the lines of heads and trailers too, because many short ones occupy much
 * more memory and processor time than their bytes suggest.
 *
 * <p>Confined to the thread of the attempt, which reads both the connection and the body.
 */
final class ResponseMeter implements AutoCloseable {
    /** The bytes of a response that are not in its body: head, interim responses, first chunk line and trailers. */
    static final long MAXIMUM_BYTES_OUTSIDE_BODY = 256 * 1_024;

    /** The lines of the head, interim responses and trailers of a response. */
    static final int MAXIMUM_HEAD_LINES = 1_000;

    /** The most bytes that are received for one byte of a body: a chunk with one byte takes six. */
    private static final int MAXIMUM_BYTES_PER_BODY_BYTE = 8;

    /** The objects for one line of a head: two strings with their arrays, and their places in lists. */
    private static final int BYTES_PER_HEAD_LINE = 128;

    private final ResponseMemory.Share memoryShare;
    private long receivedBytes;
    private long bodyBytes;
    private int headLines;

    private ResponseMeter(ResponseMemory.Share memoryShare) {
        this.memoryShare = memoryShare;
    }

    static ResponseMeter create(ResponseMemory.Share memoryShare) {
        return new ResponseMeter(Objects.requireNonNull(memoryShare, "memoryShare"));
    }

    /**
     * Records bytes that were read from the connection.
     *
     * @param readBytes the number of bytes
     * @throws ResponseTooLargeException if the response or all responses together exceed their limit
     */
    void recordRead(int readBytes) throws ResponseTooLargeException {
        receivedBytes += readBytes;
        if (receivedBytes > MAXIMUM_BYTES_OUTSIDE_BODY + MAXIMUM_BYTES_PER_BODY_BYTE * bodyBytes) {
            throw ResponseTooLargeException.of(
                    "received " + receivedBytes + " bytes, of which " + bodyBytes + " belong to the body");
        }
        memoryShare.reserve(readBytes);
    }

    /**
     * Records a line of a head or of trailers. A short line occupies many times its bytes.
     *
     * @throws ResponseTooLargeException if the response has more than {@value #MAXIMUM_HEAD_LINES} of them, or all
     *     responses together exceed their limit
     */
    void recordHeadLine() throws ResponseTooLargeException {
        headLines++;
        if (headLines > MAXIMUM_HEAD_LINES) {
            throw ResponseTooLargeException.of("received " + headLines + " lines of heads and trailers");
        }
        memoryShare.reserve(BYTES_PER_HEAD_LINE);
    }

    /** Records bytes of the body that were decoded. */
    void recordBody(long decodedBytes) {
        bodyBytes += decodedBytes;
    }

    /** Tells whether the attempt was cut off because all responses together exceeded the memory. */
    boolean isRevoked() {
        return memoryShare.isRevoked();
    }

    /** Returns the memory; may be called more than once. */
    @Override
    public void close() {
        memoryShare.close();
    }
}
