package org.cassiabank.backend;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Proxy;
import okhttp3.Call;
import okhttp3.Connection;
import okhttp3.EventListener;
import okhttp3.Headers;
import okhttp3.Interceptor;
import okhttp3.Protocol;
import okhttp3.Request;
import okhttp3.Response;
import org.cassiabank.http.BodyEnd;
import org.cassiabank.http.UnusableConnectionException;

/**
 * Records for one attempt whether bytes may have been written, and the headers of the response.
 *
 * <p>A request may have run as soon as the first write operation on the socket after the acquisition of the connection
 * has started. No OkHttp event marks this point: {@code requestHeadersStart} precedes every write, and
 * {@code requestHeadersEnd} only means that the head is in a buffer, of which full 8 KiB segments may already be
 * written. If the writes of a connection cannot be counted, bytes count as written from {@code requestHeadersStart} on.
 */
final class AttemptTrace extends EventListener implements Interceptor {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final long maximumIdleNanos;
    private final String requestId;
    private volatile boolean connectionOpened;
    private volatile boolean headersStarted;
    private volatile boolean writesNotCounted;
    private volatile boolean writtenOnEarlierConnection;
    private volatile MeteredSocket countingSocket;
    private volatile long writesAtAcquisition;
    private volatile int responseStatus;
    private volatile Headers responseHeaders;
    private volatile boolean bodyBegun;
    private volatile ResponseMeter responseMeter;
    private volatile byte[] bytesBehind = {};
    private volatile ResponseReader responseReader;
    private volatile BackendResult result;
    private volatile boolean connectionClosed;

    private AttemptTrace(long maximumIdleNanos, String requestId) {
        this.maximumIdleNanos = maximumIdleNanos;
        this.requestId = requestId;
    }

    /**
     * Creates the trace of an attempt.
     *
     * @param maximumIdleNanos the maximum age of the last response of a pooled connection, in nanoseconds
     * @param requestId the identifier that the server has to echo
     */
    static AttemptTrace create(long maximumIdleNanos, String requestId) {
        return new AttemptTrace(maximumIdleNanos, requestId);
    }

    /** Reads a response to its end and decides whether it is valid. */
    @FunctionalInterface
    interface ResponseReader {
        /**
         * Reads the body.
         *
         * @param response the response without {@code Retry-After}
         * @return the result of the attempt
         * @throws IOException if the response ends early
         */
        BackendResult read(Response response) throws IOException;
    }

    /**
     * Sets the reader of the response.
     *
     * @param newReader the reader, set before the call is executed
     */
    void setResponseReader(ResponseReader newReader) {
        responseReader = newReader;
    }

    /** Returns what the reader made of the response, null until it has been read. */
    BackendResult result() {
        return result;
    }

    /**
     * Tells whether a write operation of this attempt may have started.
     *
     * @return false only if none has started; final once the call has ended, because only the thread of the call writes
     */
    boolean mayHaveWritten() {
        return writtenOnEarlierConnection || (headersStarted && (writesNotCounted || hasWrittenSinceAcquisition()));
    }

    /**
     * Sets the meter for the bytes of the response.
     *
     * @param newMeter the meter, set before the call is executed
     */
    void setResponseMeter(ResponseMeter newMeter) {
        responseMeter = newMeter;
    }

    /** Returns the headers of the response as the server sent them, null until the head is complete. */
    Headers responseHeaders() {
        return responseHeaders;
    }

    /** Returns the status of the response, 0 until the head is complete. */
    int responseStatus() {
        return responseStatus;
    }

    /** Tells whether the head of the response shows where its body ends. */
    boolean hasBegunBody() {
        return bodyBegun;
    }

    /** Returns the bytes that had arrived behind the response when it was complete, none before. */
    byte[] bytesBehind() {
        return bytesBehind;
    }

    /** Returns the number of requests that were sent on the connection of this attempt, 0 if there is none. */
    int requestsOnConnection() {
        MeteredSocket currentSocket = countingSocket;
        return currentSocket == null ? 0 : currentSocket.requestCount();
    }

    /** Tells whether this attempt has opened a connection, rather than using a pooled one or failing to open one. */
    boolean hasOpenedConnection() {
        return connectionOpened;
    }

    /** Tells whether this attempt has closed its connection, which OkHttp still counts as idle. */
    boolean hasClosedConnection() {
        return connectionClosed;
    }

    @Override
    public void connectEnd(Call call, InetSocketAddress address, Proxy proxy, Protocol protocol) {
        connectionOpened = true;
    }

    @Override
    public void connectionAcquired(Call call, Connection connection) {
        writtenOnEarlierConnection = mayHaveWritten();
        headersStarted = false;
        if (connection.socket() instanceof MeteredSocket acquiredSocket) {
            countingSocket = acquiredSocket;
            acquiredSocket.setResponseMeter(responseMeter);
            writesAtAcquisition = acquiredSocket.startedWrites();
            writesNotCounted = false;
        } else {
            writesNotCounted = true;
        }
    }

    @Override
    public void connectionReleased(Call call, Connection connection) {
        if (connection.socket() instanceof MeteredSocket releasedSocket) {
            releasedSocket.removeResponseMeter(responseMeter);
        }
    }

    /** Takes the connection out of use if anything follows the response; it is not yet idle when this is called. */
    @Override
    public void responseBodyEnd(Call call, long byteCount) {
        MeteredSocket currentSocket = countingSocket;
        if (currentSocket == null) {
            return;
        }
        boolean usable = false;
        try {
            bytesBehind = currentSocket.endResponse();
            usable = bytesBehind.length == 0 && !currentSocket.isClosed();
        } catch (IOException exception) {
            LOGGER.atFine().withCause(exception).log("a connection could not be read behind its response");
        }
        if (!usable) {
            closeQuietly(currentSocket);
        }
    }

    private void closeQuietly(MeteredSocket socket) {
        connectionClosed = true;
        try {
            socket.close();
        } catch (IOException exception) {
            LOGGER.atFine().withCause(exception).log("a connection could not be closed");
        }
    }

    @Override
    public void requestHeadersStart(Call call) {
        headersStarted = true;
    }

    /**
     * Replaces the headers that OkHttp adds by those of the request, and hides {@code Retry-After} from OkHttp, which
     * immediately resends a request without a body after status 503 with {@code Retry-After: 0}.
     *
     * <p>Reads the whole response, because OkHttp gives the connection to other calls as soon as this method has
     * returned and the response is complete; after an invalid one it is closed first.
     */
    @Override
    public Response intercept(Chain chain) throws IOException {
        Request request = chain.request();
        requireUsableConnection();
        Headers headersToSend = request.tag(Headers.class);
        Request.Builder builder = request.newBuilder();
        for (String headerName : new String[] {"Accept-Encoding", "Connection", "User-Agent"}) {
            builder.removeHeader(headerName);
            headersToSend.values(headerName).forEach(value -> builder.addHeader(headerName, value));
        }
        Response response = chain.proceed(builder.build());
        responseStatus = response.code();
        responseHeaders = response.headers();
        beginBody(response);
        bodyBegun = true;
        Response responseToRead =
                response.newBuilder().removeHeader("Retry-After").build();
        result = responseReader.read(responseToRead);
        recordOnConnection(result);
        return responseToRead;
    }

    private void recordOnConnection(BackendResult newResult) {
        MeteredSocket currentSocket = countingSocket;
        if (currentSocket == null) {
            return;
        }
        if (newResult instanceof NoValidResponse) {
            closeQuietly(currentSocket);
        } else {
            currentSocket.recordResponse();
        }
    }

    private void beginBody(Response response) throws IOException {
        MeteredSocket currentSocket = countingSocket;
        if (currentSocket != null) {
            currentSocket.getInputStream().beginBody(BodyEnd.of(response));
        }
    }

    /** Checks the connection before anything is written; a new one always passes. */
    private void requireUsableConnection() throws IOException {
        MeteredSocket acquiredSocket = countingSocket;
        if (acquiredSocket == null) {
            return;
        }
        if (acquiredSocket.isIdleLongerThan(maximumIdleNanos)) {
            throw UnusableConnectionException.of("the connection has been idle for too long for this request");
        }
        if (acquiredSocket.hasUnreadBytes()) {
            throw UnusableConnectionException.of("bytes that no request asked for have arrived on the connection");
        }
        if (acquiredSocket.hasEndedWhileIdle()) {
            throw UnusableConnectionException.of("the server or the network has ended the idle connection");
        }
        acquiredSocket.getInputStream().beginResponse();
        if (!acquiredSocket.recordRequest(requestId)) {
            // A late copy of the first response could not be told from the response to this attempt.
            throw UnusableConnectionException.of("a request with the same identifier was sent on the connection");
        }
    }

    private boolean hasWrittenSinceAcquisition() {
        MeteredSocket currentSocket = countingSocket;
        return currentSocket != null && currentSocket.startedWrites() > writesAtAcquisition;
    }
}
