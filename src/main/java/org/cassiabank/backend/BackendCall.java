package org.cassiabank.backend;

import java.io.IOException;
import java.io.InterruptedIOException;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import okhttp3.Call;
import okhttp3.Headers;
import okhttp3.Response;
import okio.BufferedSource;

/**
 * One attempt at a backend server, which another thread can cancel.
 */
public final class BackendCall {
    private final BackendRequest request;
    private final Call call;
    private final AttemptTrace trace;
    private final int maximumResponseBytes;
    private final HeaderConventions conventions;
    private final Runnable onAnswer;
    private volatile boolean cancelled;

    private BackendCall(
            BackendRequest request,
            Call call,
            AttemptTrace trace,
            int maximumResponseBytes,
            HeaderConventions conventions,
            Runnable onAnswer) {
        this.request = request;
        this.call = call;
        this.trace = trace;
        this.maximumResponseBytes = maximumResponseBytes;
        this.conventions = conventions;
        this.onAnswer = onAnswer;
    }

    static BackendCall of(
            BackendRequest request,
            Call call,
            AttemptTrace trace,
            int maximumResponseBytes,
            HeaderConventions conventions,
            Runnable onAnswer) {
        return new BackendCall(request, call, trace, maximumResponseBytes, conventions, onAnswer);
    }

    /**
     * Sends the request and waits for the complete response. May be called once; blocks the thread.
     *
     * @return how the attempt ended; every failure of the server or the network is a result, not an exception
     */
    public BackendResult execute() {
        try (Response response = call.execute()) {
            BackendResult result = read(response);
            if (result instanceof NoValidResponse) {
                // Closing an unread response would make OkHttp read the rest and reuse the connection.
                call.cancel();
            } else {
                onAnswer.run();
            }
            return result;
        } catch (IOException exception) {
            return toResult(exception);
        }
    }

    /**
     * Ends the attempt and closes its connection, so that the server can stop its work. May be called by any thread at
     * any time; without effect after the end.
     */
    public void cancel() {
        cancelled = true;
        call.cancel();
    }

    private BackendResult read(Response response) throws IOException {
        Optional<BackendResult> broken = checkHead(response);
        if (broken.isPresent()) {
            return broken.get();
        }
        BufferedSource source = response.body().source();
        return source.request(maximumResponseBytes + 1L)
                ? new NoValidResponse(
                        NoValidResponseReason.RESPONSE_TOO_LARGE, "more than " + maximumResponseBytes + " bytes")
                : toResult(response.code(), source.readByteArray());
    }

    private Optional<BackendResult> checkHead(Response response) {
        Headers headers = trace.answerHeaders();
        List<String> identifiers = headers.values(conventions.requestIdHeader());
        if (identifiers.isEmpty() || !identifiers.stream().allMatch(request.requestId()::equals)) {
            return Optional.of(new NoValidResponse(
                    NoValidResponseReason.REQUEST_ID_MISMATCH, "answer carries identifier " + identifiers));
        }
        int status = response.code();
        if (response.isSuccessful() && isUnsigned(headers)) {
            return Optional.of(new NoValidResponse(
                    NoValidResponseReason.REQUEST_ID_MISMATCH, "successful answer without a signature"));
        }
        if (status == 204 || status == 304 || request.method().equals("HEAD")) {
            return Optional.empty();
        }
        boolean chunked = "chunked".equalsIgnoreCase(headers.get("Transfer-Encoding"));
        List<String> lengths = headers.values("Content-Length");
        boolean declared = response.body().contentLength() >= 0 && new HashSet<>(lengths).size() == 1;
        boolean endsWithConnection = conventions.allowsCloseDelimitedResponses() && lengths.isEmpty();
        return status >= 200 && (chunked || declared || endsWithConnection)
                ? Optional.empty()
                : Optional.of(new NoValidResponse(
                        NoValidResponseReason.TRUNCATED_RESPONSE, "status " + status + " without a declared end"));
    }

    private BackendResult toResult(int status, byte[] body) {
        Headers headers = trace.answerHeaders();
        Map<String, List<String>> byName = headers.toMultimap();
        boolean leaving = conventions.announcesLeaving(byName);
        return conventions.provesNotRun(status, byName)
                ? new RequestShed(leaving)
                : new ResponseReceived(status, BackendHeaders.endToEnd(headers), body, leaving);
    }

    private boolean isUnsigned(Headers headers) {
        return conventions
                .responseSignatureHeader()
                .filter(name -> headers.get(name) == null)
                .isPresent();
    }

    private BackendResult toResult(IOException exception) {
        boolean written = trace.mayHaveWritten();
        String detail = exception.toString();
        if (cancelled || Thread.currentThread().isInterrupted()) {
            return new Cancelled(written);
        }
        if (!written) {
            return new NotSent(detail);
        }
        // OkHttp reports the end of the time for the call as InterruptedIOException.
        if (exception instanceof InterruptedIOException) {
            return new NoValidResponse(NoValidResponseReason.TIMEOUT, detail);
        }
        return trace.answerHeaders() == null
                ? new NoValidResponse(NoValidResponseReason.CONNECTION_LOST, detail)
                : new NoValidResponse(NoValidResponseReason.TRUNCATED_RESPONSE, detail);
    }
}
