package org.cassiabank.backend;

import java.io.IOException;
import okhttp3.Call;
import okhttp3.Connection;
import okhttp3.EventListener;
import okhttp3.Headers;
import okhttp3.Interceptor;
import okhttp3.Request;
import okhttp3.Response;

/**
 * What is known about one attempt: whether bytes were written, and the headers as they were sent.
 *
 * <p>The line between "not sent" and "may have run" is the first write operation on the socket after the connection was
 * acquired. The events of OkHttp do not mark it: {@code requestHeadersStart} comes before anything is written, and
 * {@code requestHeadersEnd} only means that the head is in a buffer, of which full 8 KiB segments have been written
 * before. A connection whose writes cannot be counted is taken as written from {@code requestHeadersStart} on.
 */
final class AttemptTrace extends EventListener implements Interceptor {
    private volatile boolean headersStarted;
    private volatile boolean uncounted;
    private volatile boolean writtenBefore;
    private volatile WriteCountingSocket socket;
    private volatile long writesBefore;
    private volatile Headers answerHeaders;

    /** Returns false only if no write was begun. Exact when the call has ended, because only its thread writes. */
    boolean mayHaveWritten() {
        return writtenBefore || (headersStarted && (uncounted || wroteToSocket()));
    }

    /** Returns the headers of the response as the server sent them, null before the head was complete. */
    Headers answerHeaders() {
        return answerHeaders;
    }

    @Override
    public void connectionAcquired(Call call, Connection connection) {
        writtenBefore = mayHaveWritten();
        headersStarted = false;
        if (connection.socket() instanceof WriteCountingSocket counting) {
            socket = counting;
            writesBefore = counting.writes();
            uncounted = false;
        } else {
            uncounted = true;
        }
    }

    @Override
    public void requestHeadersStart(Call call) {
        headersStarted = true;
    }

    /**
     * Sends the headers of the caller instead of those that OkHttp adds, and hides {@code Retry-After} from OkHttp,
     * which resends a request without a body at once after status 503 with {@code Retry-After: 0}.
     */
    @Override
    public Response intercept(Chain chain) throws IOException {
        Request request = chain.request();
        Headers own = request.tag(Headers.class);
        Request.Builder builder = request.newBuilder();
        for (String added : new String[] {"Accept-Encoding", "Connection", "User-Agent"}) {
            builder.removeHeader(added);
            own.values(added).forEach(value -> builder.addHeader(added, value));
        }
        Response response = chain.proceed(builder.build());
        answerHeaders = response.headers();
        return response.newBuilder().removeHeader("Retry-After").build();
    }

    private boolean wroteToSocket() {
        WriteCountingSocket current = socket;
        return current != null && current.writes() > writesBefore;
    }
}
