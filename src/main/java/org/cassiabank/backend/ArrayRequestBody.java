package org.cassiabank.backend;

import java.io.IOException;
import java.util.Objects;
import okhttp3.MediaType;
import okhttp3.RequestBody;
import okio.BufferedSink;

/**
 * A request body that is written in small pieces: the body of OkHttp for an array copies it into the buffer of the
 * connection as a whole, where it stays until the server has read it.
 */
final class ArrayRequestBody extends RequestBody {
    private static final int PIECE_BYTES = 8_192;

    private final byte[] bytes;

    private ArrayRequestBody(byte[] bytes) {
        this.bytes = bytes;
    }

    /**
     * Creates a body without a media type.
     *
     * @param bytes the body; not copied
     * @return the body
     */
    static ArrayRequestBody of(byte[] bytes) {
        return new ArrayRequestBody(Objects.requireNonNull(bytes, "bytes"));
    }

    @Override
    public MediaType contentType() {
        return null;
    }

    @Override
    public long contentLength() {
        return bytes.length;
    }

    @Override
    public void writeTo(BufferedSink sink) throws IOException {
        for (int offset = 0; offset < bytes.length; offset += PIECE_BYTES) {
            sink.write(bytes, offset, Math.min(PIECE_BYTES, bytes.length - offset));
        }
    }
}
