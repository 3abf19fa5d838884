package org.cassiabank.backend;

import com.google.common.flogger.FluentLogger;
import java.io.FilterInputStream;
import java.io.FilterOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.LinkedHashSet;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.cassiabank.http.ConnectionFailure;
import org.cassiabank.http.DecodingTurns;
import org.cassiabank.http.ResponseInputStream;
import org.cassiabank.http.ResponseTooLargeException;

/**
 * A socket that counts the write operations that have started, and reports the bytes that it reads to the meter of the
 * current response.
 *
 * <p>The count of writes increases before the operating system is called, because a failing write may have sent bytes.
 */
final class MeteredSocket extends Socket {
    /** Longer than a client delays its acknowledgement, for which a server may hold back the second part of a write. */
    static final long SECOND_SEGMENT_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** A copy of a response to an older request has arrived long before, and takes the connection out of use. */
    private static final int REMEMBERED_REQUESTS = 32;

    private static final long EXAMINED_IDLE_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
    private static final int EXAMINATION_MILLIS = 1;

    /** The latest identifiers, the oldest first; guarded by itself. */
    private final Set<String> requestIds = new LinkedHashSet<>();

    private final DecodingTurns decodingTurns;
    private final ConnectionFailure failure = ConnectionFailure.none();
    private final AtomicLong startedWrites = new AtomicLong();
    private final AtomicReference<ResponseMeter> responseMeter = new AtomicReference<>();
    private final AtomicInteger requestCount = new AtomicInteger();
    private volatile ResponseInputStream responseInput;
    private volatile boolean hasResponded;
    /** The {@link System#nanoTime()} at which the last valid response was complete, if there was one. */
    private volatile long lastResponseNanos;

    private MeteredSocket(DecodingTurns decodingTurns) {
        super();
        this.decodingTurns = decodingTurns;
    }

    /** Creates a socket that is not connected. */
    static MeteredSocket create(DecodingTurns decodingTurns) {
        return new MeteredSocket(Objects.requireNonNull(decodingTurns, "decodingTurns"));
    }

    /** Returns the number of write operations since the socket was created. */
    long startedWrites() {
        return startedWrites.get();
    }

    /**
     * Sets the meter for the bytes that are read from now on.
     *
     * @param newMeter the meter of the attempt that uses the connection
     */
    void setResponseMeter(ResponseMeter newMeter) {
        responseMeter.set(newMeter);
    }

    /**
     * Removes the meter of an attempt that no longer uses the connection, unless another attempt already does.
     *
     * @param formerMeter the meter of the attempt
     */
    void removeResponseMeter(ResponseMeter formerMeter) {
        responseMeter.compareAndSet(formerMeter, null);
    }

    /** Records that a valid response is complete. */
    void recordResponse() {
        lastResponseNanos = System.nanoTime();
        hasResponded = true;
    }

    /**
     * Tells whether the last valid response is older than a limit.
     *
     * @param maximumNanos the limit in nanoseconds
     * @return false also if there was no response yet, because the connection is new
     */
    boolean isIdleLongerThan(long maximumNanos) {
        return hasResponded && System.nanoTime() - lastResponseNanos > maximumNanos;
    }

    /**
     * Records a request that is about to be sent on the connection.
     *
     * @param requestId the identifier of the request
     * @return false if one of the latest requests on the connection had the same identifier
     */
    boolean recordRequest(String requestId) {
        synchronized (requestIds) {
            if (!requestIds.add(requestId)) {
                return false;
            }
            requestCount.incrementAndGet();
            if (requestIds.size() > REMEMBERED_REQUESTS) {
                requestIds.remove(requestIds.iterator().next());
            }
            return true;
        }
    }

    /** Returns the number of requests that were sent on the connection, including the current one. */
    int requestCount() {
        return requestCount.get();
    }

    /**
     * Tells whether the connection has ended while it was idle, or bytes have arrived on it that no request has asked
     * for. Only a read shows an end; it waits for a millisecond, so a connection that was in use a moment ago is not
     * examined.
     *
     * @return true if the connection must not be used; it may have lost a byte
     * @throws IOException if the timeout of the socket cannot be set
     */
    boolean hasEndedWhileIdle() throws IOException {
        if (!isIdleLongerThan(EXAMINED_IDLE_NANOS)) {
            return false;
        }
        int formerTimeoutMillis = getSoTimeout();
        setSoTimeout(EXAMINATION_MILLIS);
        try {
            super.getInputStream().read();
            return true;
        } catch (SocketTimeoutException exception) {
            setSoTimeout(formerTimeoutMillis);
            return false;
        } catch (IOException exception) {
            LOGGER.atFine().withCause(exception).log("a connection was reset while it was idle");
            return true;
        }
    }

    /**
     * Records that the response is complete, and takes the connection out of use if anything follows it. Waits a short
     * time for bytes behind the response if its body ends like the beginning of another response, because only what
     * follows tells the two apart.
     *
     * @return the bytes that have arrived behind the end of the response
     * @throws IOException if the connection cannot be read
     */
    byte[] endResponse() throws IOException {
        ResponseInputStream response = getInputStream();
        byte[] bytesBehind = response.endResponse();
        if (ResponseBoundary.isUndecided(response.endOfBody(), bytesBehind)) {
            bytesBehind = awaitDecision(response);
        }
        if (bytesBehind.length > 0) {
            close();
        }
        return bytesBehind;
    }

    private byte[] awaitDecision(ResponseInputStream response) throws IOException {
        long startNanos = System.nanoTime();
        int formerTimeoutMillis = getSoTimeout();
        try {
            boolean connected = true;
            long remainingNanos = SECOND_SEGMENT_NANOS;
            while (connected
                    && remainingNanos > 0
                    && ResponseBoundary.isUndecided(response.endOfBody(), response.bytesBehind())) {
                setSoTimeout(Math.toIntExact(TimeUnit.NANOSECONDS.toMillis(remainingNanos) + 1));
                connected = response.awaitBytesBehind();
                remainingNanos = SECOND_SEGMENT_NANOS - (System.nanoTime() - startNanos);
            }
            if (!connected) {
                close();
                return response.bytesBehind();
            }
        } catch (SocketTimeoutException exception) {
            LOGGER.atFine().log("nothing followed a body that ends like the beginning of a response");
        }
        setSoTimeout(formerTimeoutMillis);
        return response.bytesBehind();
    }

    /** Tells whether bytes have arrived that no request has asked for, such as a second copy of a response. */
    boolean hasUnreadBytes() throws IOException {
        return getInputStream().available() > 0;
    }

    @Override
    public ResponseInputStream getInputStream() throws IOException {
        if (responseInput == null) {
            responseInput = ResponseInputStream.of(newMeteredInput(), this::recordHeadLine, decodingTurns);
        }
        return responseInput;
    }

    private InputStream newMeteredInput() throws IOException {
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
                recordRead(readBytes);
                return readBytes;
            }
        };
    }

    @Override
    public OutputStream getOutputStream() throws IOException {
        return new FilterOutputStream(failure.observe(super.getOutputStream())) {
            @Override
            public void write(int value) throws IOException {
                startedWrites.incrementAndGet();
                out.write(value);
            }

            @Override
            public void write(byte[] bytes, int offset, int length) throws IOException {
                startedWrites.incrementAndGet();
                out.write(bytes, offset, length);
            }
        };
    }

    private void recordHeadLine() throws ResponseTooLargeException {
        ResponseMeter meter = responseMeter.get();
        if (meter != null) {
            meter.recordHeadLine();
        }
    }

    private void recordRead(int readBytes) throws ResponseTooLargeException {
        ResponseMeter meter = responseMeter.get();
        if (meter != null && readBytes > 0) {
            meter.recordRead(readBytes);
        }
    }
}
