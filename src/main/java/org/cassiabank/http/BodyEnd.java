package org.cassiabank.http;

import okhttp3.Response;

/**
 * How the end of the body of a response is marked (RFC 9112, section 6.3).
 */
public sealed interface BodyEnd {
    /** The field that declares a length. */
    String CONTENT_LENGTH = "Content-Length";

    /** The field that declares chunks. */
    String TRANSFER_ENCODING = "Transfer-Encoding";

    /** The only transfer encoding that is read. */
    String CHUNKED = "chunked";

    /**
     * Returns what marks the end of a body.
     *
     * @param response a response whose body has not been read
     * @return what OkHttp takes for the end
     */
    static BodyEnd of(Response response) {
        long length = response.body().contentLength();
        if (length >= 0) {
            return ofLength(length);
        }
        return CHUNKED.equalsIgnoreCase(response.header(TRANSFER_ENCODING)) ? new LastChunk() : new EndOfConnection();
    }

    /**
     * Returns what marks the end of a body of a given length.
     *
     * @param bytes the length in bytes, not negative
     * @return the end of the head if there are none
     */
    static BodyEnd ofLength(long bytes) {
        return bytes == 0 ? new Head() : new DeclaredLength(bytes);
    }

    /** There is no body, or an empty one: the response ends with its head. */
    record Head() implements BodyEnd {
        @Override
        public String toString() {
            return "head";
        }
    }

    /**
     * The body has a declared length.
     *
     * @param bytes the length in bytes, positive
     */
    record DeclaredLength(long bytes) implements BodyEnd {
        @Override
        public String toString() {
            return "length";
        }
    }

    /** The body is chunked. */
    record LastChunk() implements BodyEnd {
        @Override
        public String toString() {
            return "chunks";
        }
    }

    /** The body ends with the connection, so that nothing but an orderly end shows that it is whole. */
    record EndOfConnection() implements BodyEnd {
        @Override
        public String toString() {
            return "end of connection";
        }
    }
}
