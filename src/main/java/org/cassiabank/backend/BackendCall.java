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
 * One attempt at a request to a backend server, which another thread can cancel.
 */
public final class BackendCall {
    private final BackendRequest request;
    private final Call call;
    private final AttemptTrace trace;
    private final int maximumResponseBytes;
    private final HeaderConventions conventions;
    private final Runnable onValidResponse;
    private volatile boolean cancelled;

    private BackendCall(
            BackendRequest request,
            Call call,
            AttemptTrace trace,
            int maximumResponseBytes,
            HeaderConventions conventions,
            Runnable onValidResponse) {
        this.request = request;
        this.call = call;
        this.trace = trace;
        this.maximumResponseBytes = maximumResponseBytes;
        this.conventions = conventions;
        this.onValidResponse = onValidResponse;
    }

    static BackendCall of(
            BackendRequest request,
            Call call,
            AttemptTrace trace,
            int maximumResponseBytes,
            HeaderConventions conventions,
            Runnable onValidResponse) {
        return new BackendCall(request, call, trace, maximumResponseBytes, conventions, onValidResponse);
    }

    /**
     * Sends the request and waits for the complete response. Blocks the thread; may be called only once.
     *
     * @return the result of the attempt; a failure of the server or the network is a result too, not an exception
     */
    public BackendResult execute() {
        try (Response response = call.execute()) {
            BackendResult result = readResponse(response);
            if (result instanceof NoValidResponse) {
                // Without the cancellation, OkHttp would read the rest of the unread response and reuse the connection.
                call.cancel();
            } else {
                onValidResponse.run();
            }
            return result;
        } catch (IOException exception) {
            return toResult(exception);
        }
    }

    /**
     * Cancels the attempt and closes its connection, so that the server can stop its work. May be called from any
     * thread at any time; has no effect once the attempt has ended.
     */
    public void cancel() {
        cancelled = true;
        call.cancel();
    }

    private BackendResult readResponse(Response response) throws IOException {
        Optional<BackendResult> invalidHead = findInvalidHead(response);
        if (invalidHead.isPresent()) {
            return invalidHead.get();
        }
        BufferedSource source = response.body().source();
        return source.request(maximumResponseBytes + 1L)
                ? new NoValidResponse(
                        NoValidResponseReason.RESPONSE_TOO_LARGE, "more than " + maximumResponseBytes + " bytes")
                : toResult(response.code(), source.readByteArray());
    }

    private Optional<BackendResult> findInvalidHead(Response response) {
        Headers headers = trace.responseHeaders();
        List<String> requestIds = headers.values(conventions.requestIdHeader());
        if (requestIds.isEmpty() || !requestIds.stream().allMatch(request.requestId()::equals)) {
            return Optional.of(new NoValidResponse(
                    NoValidResponseReason.REQUEST_ID_MISMATCH, "response carries request identifiers " + requestIds));
        }
        int status = response.code();
        if (response.isSuccessful() && lacksRequiredSignature(headers)) {
            return Optional.of(new NoValidResponse(
                    NoValidResponseReason.REQUEST_ID_MISMATCH, "successful response without a signature"));
        }
        if (status == 204 || status == 304 || request.method().equals("HEAD")) {
            return Optional.empty();
        }
        boolean chunked = "chunked".equalsIgnoreCase(headers.get("Transfer-Encoding"));
        List<String> contentLengths = headers.values("Content-Length");
        boolean lengthDeclared = response.body().contentLength() >= 0 && new HashSet<>(contentLengths).size() == 1;
        boolean closeDelimited = conventions.allowsCloseDelimitedResponses() && contentLengths.isEmpty();
        return status >= 200 && (chunked || lengthDeclared || closeDelimited)
                ? Optional.empty()
                : Optional.of(new NoValidResponse(
                        NoValidResponseReason.TRUNCATED_RESPONSE,
                        "status " + status + " without a valid Content-Length or chunked encoding"));
    }

    private BackendResult toResult(int status, byte[] body) {
        Headers headers = trace.responseHeaders();
        Map<String, List<String>> headersByName = headers.toMultimap();
        boolean leaving = conventions.announcesLeaving(headersByName);
        return conventions.provesNotRun(status, headersByName)
                ? new RequestShed(leaving)
                : new ResponseReceived(status, BackendHeaders.endToEnd(headers), body, leaving);
    }

    private boolean lacksRequiredSignature(Headers headers) {
        return conventions
                .responseSignatureHeader()
                .filter(name -> headers.get(name) == null)
                .isPresent();
    }

    private BackendResult toResult(IOException exception) {
        boolean mayHaveWritten = trace.mayHaveWritten();
        String detail = exception.toString();
        if (cancelled || Thread.currentThread().isInterrupted()) {
            return new Cancelled(mayHaveWritten);
        }
        if (!mayHaveWritten) {
            return new NotSent(detail);
        }
        // OkHttp reports the timeout of a call as InterruptedIOException.
        if (exception instanceof InterruptedIOException) {
            return new NoValidResponse(NoValidResponseReason.TIMEOUT, detail);
        }
        return trace.responseHeaders() == null
                ? new NoValidResponse(NoValidResponseReason.CONNECTION_LOST, detail)
                : new NoValidResponse(NoValidResponseReason.TRUNCATED_RESPONSE, detail);
    }
}
