package org.cassiabank.http;

import java.io.FilterInputStream;
import java.io.FilterOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Remembers the first failure of a connection, so that every later read reports it instead of an orderly end.
 *
 * <p>The operating system reports the reset of a connection to one operation only. If that is a write, the next read
 * returns the end of the stream, and a body that ends with its connection would count as complete: OkHttp drops the
 * failure of a write and reads the response.
 *
 * <p>Instances are thread-safe.
 */
public final class ConnectionFailure {
    private final AtomicReference<IOException> firstFailure = new AtomicReference<>();

    private ConnectionFailure() {}

    /**
     * Creates the record of a connection that has not failed.
     *
     * @return the record
     */
    public static ConnectionFailure none() {
        return new ConnectionFailure();
    }

    /**
     * Wraps the stream from which the connection is read.
     *
     * @param input the stream of the socket
     * @return a stream that reports the end of the connection only if nothing has failed on it
     */
    public InputStream observe(InputStream input) {
        return new FilterInputStream(Objects.requireNonNull(input, "input")) {
            @Override
            public int read() throws IOException {
                byte[] single = new byte[1];
                return read(single, 0, 1) < 0 ? -1 : single[0] & 0xff;
            }

            @Override
            public int read(byte[] bytes, int offset, int length) throws IOException {
                int readBytes;
                try {
                    readBytes = in.read(bytes, offset, length);
                } catch (SocketTimeoutException exception) {
                    throw exception;
                } catch (IOException exception) {
                    record(exception);
                    throw exception;
                }
                if (readBytes < 0) {
                    requireOrderlyEnd();
                }
                return readBytes;
            }
        };
    }

    /**
     * Wraps the stream to which the connection is written.
     *
     * @param output the stream of the socket
     * @return a stream that records failures and reports them unchanged
     */
    public OutputStream observe(OutputStream output) {
        return new FilterOutputStream(Objects.requireNonNull(output, "output")) {
            @Override
            public void write(int value) throws IOException {
                write(new byte[] {(byte) value}, 0, 1);
            }

            @Override
            public void write(byte[] bytes, int offset, int length) throws IOException {
                try {
                    out.write(bytes, offset, length);
                } catch (IOException exception) {
                    record(exception);
                    throw exception;
                }
            }
        };
    }

    private void record(IOException exception) {
        firstFailure.compareAndSet(null, exception);
    }

    private void requireOrderlyEnd() throws SocketException {
        IOException failure = firstFailure.get();
        if (failure != null) {
            SocketException exception = new SocketException("the connection has failed before its end: " + failure);
            exception.initCause(failure);
            throw exception;
        }
    }
}
