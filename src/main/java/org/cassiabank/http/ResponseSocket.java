package org.cassiabank.http;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;

/**
 * A socket that hands out the bytes of its connection response by response, and limits the bytes of each response. The
 * limit includes what belongs to no body, because OkHttp buffers a chunk line or a sequence of interim responses of any
 * length.
 */
final class ResponseSocket extends Socket {
    private final long maximumResponseBytes;
    private final DecodingTurns decodingTurns;
    private final ConnectionFailure failure = ConnectionFailure.none();
    /** Null until the first request on the connection itself; a TLS connection on top of it makes none. */
    private volatile ResponseInputStream responses;

    /** The bytes of the current response; confined to the thread that uses the connection. */
    private long receivedBytes;

    private ResponseSocket(long maximumResponseBytes, DecodingTurns decodingTurns) {
        super();
        this.maximumResponseBytes = maximumResponseBytes;
        this.decodingTurns = decodingTurns;
    }

    /**
     * Creates a socket that is not connected.
     *
     * @param maximumResponseBytes the most bytes of one response, its head and framing included
     * @param decodingTurns shares the processor with the other responses of the client
     * @return the socket
     */
    static ResponseSocket create(long maximumResponseBytes, DecodingTurns decodingTurns) {
        return new ResponseSocket(maximumResponseBytes, decodingTurns);
    }

    /**
     * Expects the response to a request that is about to be sent.
     *
     * @throws UnusableConnectionException if bytes have arrived that no request has asked for
     * @throws IOException if the connection cannot be read
     */
    void beginResponse() throws IOException {
        if (responses == null) {
            responses = ResponseInputStream.of(newLimitedInput(), () -> {}, decodingTurns);
        }
        int unreadBytes = responses.available();
        if (unreadBytes > 0) {
            throw UnusableConnectionException.of(
                    unreadBytes + " bytes that no request asked for have arrived on the connection");
        }
        receivedBytes = 0;
        responses.beginResponse();
    }

    /** Returns the responses of the connection; only after {@link #beginResponse()}. */
    ResponseInputStream responses() {
        return responses;
    }

    @Override
    public InputStream getInputStream() throws IOException {
        return new FilterInputStream(failure.observe(super.getInputStream())) {
            @Override
            public int read() throws IOException {
                return current().read();
            }

            @Override
            public int read(byte[] bytes, int offset, int length) throws IOException {
                return current().read(bytes, offset, length);
            }

            @Override
            public int available() throws IOException {
                return current().available();
            }

            private InputStream current() {
                return responses == null ? in : responses;
            }
        };
    }

    @Override
    public OutputStream getOutputStream() throws IOException {
        return failure.observe(super.getOutputStream());
    }

    private InputStream newLimitedInput() throws IOException {
        return new FilterInputStream(failure.observe(super.getInputStream())) {
            @Override
            public int read() throws IOException {
                int value = in.read();
                recordRead(value < 0 ? 0 : 1);
                return value;
            }

            @Override
            public int read(byte[] bytes, int offset, int length) throws IOException {
                int readBytes = in.read(bytes, offset, length);
                recordRead(Math.max(0, readBytes));
                return readBytes;
            }
        };
    }

    private void recordRead(int readBytes) throws ResponseTooLargeException {
        receivedBytes += readBytes;
        if (receivedBytes > maximumResponseBytes) {
            throw ResponseTooLargeException.of("the response exceeds " + maximumResponseBytes + " bytes");
        }
    }
}
