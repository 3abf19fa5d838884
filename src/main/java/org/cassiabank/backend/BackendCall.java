package org.cassiabank.backend;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.io.InterruptedIOException;
import java.net.ProtocolException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import okhttp3.Call;
import okhttp3.Headers;
import okhttp3.Response;
import okio.Buffer;
import okio.BufferedSource;
import org.cassiabank.admission.RateLimitNotice;
import org.cassiabank.admission.ServerNotice;
import org.cassiabank.http.BodyEnd;
import org.cassiabank.http.PrintableText;
import org.cassiabank.http.ResponseHeads;
import org.cassiabank.http.ResponseTooLargeException;
import org.cassiabank.http.UnusableConnectionException;

/**
 * One attempt at a request to a backend server, which another thread can cancel.
 */
public final class BackendCall {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int LOG_INTERVAL_SECONDS = 10;
    private static final int MISDIRECTED_REQUEST_STATUS = 421;

    /** The most bytes of a body that are decoded before they are counted. */
    private static final long READ_BYTES = 8_192;

    private final BackendRequest request;
    /** Replaced by a copy if the first connection turns out to be unusable. */
    private volatile Call call;

    private final AttemptTrace trace;
    private final int maximumResponseBytes;
    private final HeaderConventions conventions;
    private final Runnable onValidResponse;
    private final Runnable onUnusableConnection;
    private final ResponseMemory responseMemory;
    private volatile boolean cancelled;
    /** The start of {@link #execute()}; confined to its thread. */
    private long startNanos;

    private BackendCall(
            BackendRequest request,
            Call call,
            AttemptTrace trace,
            int maximumResponseBytes,
            HeaderConventions conventions,
            Runnable onValidResponse,
            Runnable onUnusableConnection,
            ResponseMemory responseMemory) {
        this.request = request;
        this.call = call;
        this.trace = trace;
        this.maximumResponseBytes = maximumResponseBytes;
        this.conventions = conventions;
        this.onValidResponse = onValidResponse;
        this.onUnusableConnection = onUnusableConnection;
        this.responseMemory = responseMemory;
    }

    static BackendCall of(
            BackendRequest request,
            Call call,
            AttemptTrace trace,
            int maximumResponseBytes,
            HeaderConventions conventions,
            Runnable onValidResponse,
            Runnable onUnusableConnection,
            ResponseMemory responseMemory) {
        return new BackendCall(
                request,
                call,
                trace,
                maximumResponseBytes,
                conventions,
                onValidResponse,
                onUnusableConnection,
                responseMemory);
    }

    /**
     * Sends the request and waits for the complete response. Blocks the thread; may be called only once.
     *
     * @return the result of the attempt; a failure of the server, the network or this process is a result too, not an
     *     exception
     */
    public BackendResult execute() {
        startNanos = System.nanoTime();
        try (ResponseMeter meter = ResponseMeter.create(responseMemory.open(this::cancelCall))) {
            trace.setResponseMeter(meter);
            return executeOnUsableConnection(meter);
        } catch (RuntimeException | Error failure) {
            // The slot has to be reported and the caller answered even if this process runs out of memory.
            call.cancel();
            LOGGER.atSevere().withCause(failure).atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
                    "unexpected error in the attempt of request %s at %s", request.requestId(), request.address());
            return toResult(failure.toString());
        }
    }

    /** Executes the call, again on a new connection if a pooled one must not be used and nothing was written to it. */
    private BackendResult executeOnUsableConnection(ResponseMeter meter) {
        try {
            return execute(meter);
        } catch (UnusableConnectionException exception) {
            onUnusableConnection.run();
            Call nextCall = call.clone();
            // A copy has no timeout of its own.
            nextCall.timeout().timeout(remainingNanos(), TimeUnit.NANOSECONDS);
            call = nextCall;
            if (cancelled) {
                // The cancellation may have reached only the former call.
                call.cancel();
            }
        }
        try {
            return execute(meter);
        } catch (UnusableConnectionException exception) {
            return new NotSent(exception.toString());
        }
    }

    /** Returns what is left of the time of the attempt, at least 1 ns because 0 would mean no timeout. */
    private long remainingNanos() {
        return Math.max(1, TimeUnit.MILLISECONDS.toNanos(request.timeoutMillis()) - (System.nanoTime() - startNanos));
    }

    private BackendResult execute(ResponseMeter meter) throws UnusableConnectionException {
        trace.setResponseReader(response -> readResponse(response, meter));
        try (Response response = call.execute()) {
            BackendResult result = trace.result();
            if (!(result instanceof NoValidResponse)) {
                onValidResponse.run();
            }
            if (trace.hasClosedConnection()) {
                onUnusableConnection.run();
            }
            return result;
        } catch (UnusableConnectionException exception) {
            throw exception;
        } catch (IOException exception) {
            // An exception while a body is read leaves its connection open.
            call.cancel();
            return toResult(exception, meter);
        }
    }

    /**
     * Tells whether the attempt has opened a connection to the server.
     *
     * @return false if it used a pooled connection or could not open one
     */
    public boolean hasOpenedConnection() {
        return trace.hasOpenedConnection();
    }

    /**
     * Tells whether bytes had arrived behind the response when it was complete. They belong to no request.
     *
     * @return false also if there is no complete response
     */
    public boolean hasBytesBehindResponse() {
        return trace.bytesBehind().length > 0;
    }

    /**
     * Tells whether the response announced that its server is leaving. So does the notice of the result, if it has one.
     *
     * @return true also if the response broke off or is not valid behind its head; false if there is none, or if it
     *     belongs to another request or comes from another server
     */
    public boolean announcesLeaving() {
        Headers headers = trace.responseHeaders();
        return headers != null
                && trace.responseStatus() != MISDIRECTED_REQUEST_STATUS
                && identifiesRequest(headers)
                && conventions.announcesLeaving(headers.toMultimap());
    }

    /**
     * Cancels the attempt and closes its connection, so that the server can stop its work. May be called from any
     * thread at any time; has no effect once the attempt has ended.
     */
    public void cancel() {
        cancelled = true;
        cancelCall();
    }

    private void cancelCall() {
        call.cancel();
    }

    private BackendResult readResponse(Response response, ResponseMeter meter) throws IOException {
        Optional<BackendResult> invalidHead = findInvalidHead(response);
        if (invalidHead.isPresent()) {
            return invalidHead.get();
        }
        BufferedSource source = response.body().source();
        Buffer body = new Buffer();
        long readBytes = source.read(body, READ_BYTES);
        while (readBytes >= 0 && body.size() <= maximumResponseBytes) {
            meter.recordBody(readBytes);
            readBytes = source.read(body, READ_BYTES);
        }
        if (body.size() > maximumResponseBytes) {
            return new NoValidResponse(
                    NoValidResponseReason.RESPONSE_TOO_LARGE, "more than " + maximumResponseBytes + " bytes");
        }
        byte[] bodyBytes = body.readByteArray();
        return findForeignBytes(response.code(), bodyBytes)
                .<BackendResult>map(detail -> new NoValidResponse(NoValidResponseReason.JOINED_RESPONSES, detail))
                .orElseGet(() -> toResult(response, bodyBytes));
    }

    /** Returns why a body may hold bytes that do not belong to it; logs bytes behind a body that counts as whole. */
    private Optional<String> findForeignBytes(int status, byte[] body) {
        byte[] bytesBehind = trace.bytesBehind();
        Optional<String> defect = ResponseBoundary.findDefect(body, bytesBehind, conventions.requestIdHeader());
        if (defect.isEmpty() && !ResponseBoundary.mayBeginResponse(bytesBehind)) {
            defect = Optional.of(bytesBehind.length + " bytes follow the body that begin no response");
        }
        if (defect.isEmpty()
                && conventions.provesNotRun(status, trace.responseHeaders().toMultimap())
                && isContradicted(status, bytesBehind)) {
            defect = Optional.of("another response follows the refusal with status " + status);
        }
        if (bytesBehind.length > 0) {
            LOGGER.atInfo().atMostEvery(1, TimeUnit.SECONDS).log(
                    "server %s at %s sent %d bytes behind its response with status %d and %d bytes to request %s, "
                            + "number %d on its connection: [%s]; %s",
                    request.server(),
                    request.address(),
                    bytesBehind.length,
                    status,
                    body.length,
                    request.requestId(),
                    trace.requestsOnConnection(),
                    PrintableText.abbreviate(new String(bytesBehind, StandardCharsets.ISO_8859_1)),
                    defect.orElse("the response is delivered"));
        }
        return defect;
    }

    /** Tells whether a refusal is followed by a response that is no refusal, as far as it has arrived. */
    private boolean isContradicted(int status, byte[] bytesBehind) {
        return ResponseBoundary.contradicts(status, bytesBehind)
                || ResponseBoundary.headersBehind(bytesBehind)
                        .filter(headers -> !conventions.provesNotRun(status, headers))
                        .isPresent();
    }

    private Optional<BackendResult> findInvalidHead(Response response) {
        Headers headers = trace.responseHeaders();
        if (!identifiesRequest(headers)) {
            return Optional.of(new NoValidResponse(
                    NoValidResponseReason.REQUEST_ID_MISMATCH,
                    "response carries request identifiers " + headers.values(conventions.requestIdHeader())));
        }
        int status = response.code();
        boolean hasBody = status != 204 && status != 304 && !request.method().equals("HEAD");
        Optional<String> defect =
                ResponseHeads.findDefect(status, response.message(), headers, identifyingFields(), hasBody);
        if (defect.isPresent()) {
            return Optional.of(malformedHead(defect.get()));
        }
        if (response.isSuccessful() && lacksRequiredSignature(headers)) {
            return Optional.of(new NoValidResponse(
                    NoValidResponseReason.REQUEST_ID_MISMATCH, "successful response without a signature"));
        }
        boolean endsWithConnection = BodyEnd.of(response) instanceof BodyEnd.EndOfConnection;
        return endsWithConnection && !conventions.allowsCloseDelimitedResponses()
                ? Optional.of(new NoValidResponse(
                        NoValidResponseReason.TRUNCATED_RESPONSE,
                        "status " + status + " without a valid Content-Length or chunked encoding"))
                : Optional.empty();
    }

    private NoValidResponse malformedHead(String detail) {
        LOGGER.atInfo().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
                "server %s at %s sent a malformed head in response to request %s: %s",
                request.server(), request.address(), request.requestId(), PrintableText.abbreviate(detail));
        return new NoValidResponse(NoValidResponseReason.MALFORMED_HEAD, detail);
    }

    private boolean identifiesRequest(Headers headers) {
        List<String> requestIds = headers.values(conventions.requestIdHeader());
        return !requestIds.isEmpty() && requestIds.stream().allMatch(request.requestId()::equals);
    }

    private BackendResult toResult(Response response, byte[] body) {
        int status = response.code();
        Headers headers = trace.responseHeaders();
        Map<String, List<String>> headersByName = headers.toMultimap();
        ServerNotice notice = readNotice(status, headers, headersByName);
        return conventions.provesNotRun(status, headersByName)
                ? new RequestShed(notice)
                : new ResponseReceived(
                        status,
                        BackendHeaders.endToEnd(headers),
                        body,
                        notice,
                        conventions.promisesNotRun(status),
                        observe(response));
    }

    /** Returns what tells a response from one that was read together with another or is not whole. */
    private String observe(Response response) {
        String observation = "[" + PrintableText.abbreviate(response.message()) + "], ended by " + BodyEnd.of(response)
                + ", request " + trace.requestsOnConnection() + " of its connection";
        int bytesBehind = trace.bytesBehind().length;
        return bytesBehind == 0 ? observation : observation + ", " + bytesBehind + " bytes behind";
    }

    private ServerNotice readNotice(int status, Headers headers, Map<String, List<String>> headersByName) {
        if (status == MISDIRECTED_REQUEST_STATUS) {
            // Another server answered.
            return ServerNotice.none();
        }
        List<String> values = headers.values(conventions.rateLimitHeader());
        Optional<RateLimitNotice> limit = RateLimitHeader.parse(values);
        if (limit.isEmpty()) {
            LOGGER.atWarning().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
                    "server %s at %s sent %s: %s, expected one decimal number; it counts as a server without a limit",
                    request.server(),
                    request.address(),
                    conventions.rateLimitHeader(),
                    PrintableText.abbreviate(values.toString()));
        }
        return new ServerNotice(
                conventions.announcesLeaving(headersByName), limit.orElseGet(RateLimitNotice.Unlimited::new));
    }

    /** Returns the names of the headers that each response of a server holds. */
    private List<String> identifyingFields() {
        return Stream.concat(Stream.of(conventions.requestIdHeader()), conventions.responseSignatureHeader().stream())
                .toList();
    }

    private boolean lacksRequiredSignature(Headers headers) {
        return conventions
                .responseSignatureHeader()
                .filter(name -> headers.get(name) == null)
                .isPresent();
    }

    private BackendResult toResult(String failure) {
        return trace.mayHaveWritten()
                ? new NoValidResponse(NoValidResponseReason.CONNECTION_LOST, failure)
                : new NotSent(failure);
    }

    private BackendResult toResult(IOException exception, ResponseMeter meter) {
        boolean mayHaveWritten = trace.mayHaveWritten();
        String detail = exception.toString();
        if (cancelled || Thread.currentThread().isInterrupted()) {
            return new Cancelled(mayHaveWritten);
        }
        if (!mayHaveWritten) {
            return new NotSent(detail);
        }
        if (exception instanceof ResponseTooLargeException || meter.isRevoked()) {
            return new NoValidResponse(NoValidResponseReason.RESPONSE_TOO_LARGE, detail);
        }
        // OkHttp reports the timeout of a call as InterruptedIOException.
        if (exception instanceof InterruptedIOException) {
            return new NoValidResponse(NoValidResponseReason.TIMEOUT, detail);
        }
        if (exception instanceof ProtocolException && !trace.hasBegunBody()) {
            return malformedHead(detail);
        }
        return trace.responseHeaders() == null
                ? new NoValidResponse(NoValidResponseReason.CONNECTION_LOST, detail)
                : new NoValidResponse(NoValidResponseReason.TRUNCATED_RESPONSE, detail);
    }
}
