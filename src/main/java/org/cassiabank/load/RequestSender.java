package org.cassiabank.load;

import java.io.IOException;
import java.io.InterruptedIOException;
import java.net.ConnectException;
import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import okhttp3.ConnectionPool;
import okhttp3.OkHttpClient;
import okhttp3.Protocol;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

/**
 * Sends the requests of a schedule and records what their callers observe. Thread-safe.
 */
final class RequestSender {
    private final OkHttpClient client;
    private final LoadBalancer balancer;
    private final LoadSettings settings;

    private RequestSender(OkHttpClient client, LoadBalancer balancer, LoadSettings settings) {
        this.client = client;
        this.balancer = balancer;
        this.settings = settings;
    }

    static RequestSender create(LoadBalancer balancer, LoadSettings settings) {
        OkHttpClient client = new OkHttpClient.Builder()
                // A retry by the client library would hide broken connections and could execute a request twice.
                .retryOnConnectionFailure(false)
                .followRedirects(false)
                .protocols(java.util.List.of(Protocol.HTTP_1_1))
                .connectionPool(new ConnectionPool(settings.maximumIdleConnections(), 10, TimeUnit.SECONDS))
                .connectTimeout(Duration.ofMillis(1_000))
                .readTimeout(Duration.ZERO)
                .callTimeout(Duration.ofMillis(settings.callerTimeoutMillis()))
                .build();
        return new RequestSender(client, balancer, settings);
    }

    /**
     * Sends a request once and waits for the complete response.
     *
     * @param arrival the request
     * @param repeatNumber 0 for the first send, then the number of the repeat
     * @param latencyStartNanos the time from which the latency is measured, by {@link System#nanoTime()}
     * @return the sample, also if the request fails with an I/O error
     */
    Sample send(Arrival arrival, int repeatNumber, long latencyStartNanos) {
        String token = settings.tokenPrefix() + "-" + arrival.index();
        String requestId = token + "-" + repeatNumber;
        long sendDelayNanos = System.nanoTime() - latencyStartNanos;
        Request request = createRequest(arrival, token, requestId);
        try (Response response = client.newCall(request).execute()) {
            ReceivedResponse received = new ReceivedResponse(
                    response.code(),
                    response.header("Cassiabank-Outcome", ""),
                    response.header("Cassiabank-Reason", ""),
                    response.header("Cassiabank-Request-Id", ""),
                    response.header("Cassiabank-Not-Run") != null,
                    response.body().string());
            ObservedOutcome outcome = settings.bypassesProxies()
                    ? ResponseClassifier.classifyDirect(received, token)
                    : ResponseClassifier.classify(received, token);
            long retryAfterMillis = Long.parseLong(response.header("Cassiabank-Retry-After-Millis", "-1"));
            String reason = outcome == ObservedOutcome.UNMARKED ? "status " + received.httpStatus() : received.reason();
            return new Sample(
                    arrival,
                    repeatNumber,
                    token,
                    outcome,
                    received.httpStatus(),
                    reason,
                    System.nanoTime() - latencyStartNanos,
                    sendDelayNanos,
                    !received.requestId().isEmpty() && !received.requestId().equals(requestId),
                    retryAfterMillis);
        } catch (IOException exception) {
            String reason = exception.getClass().getSimpleName();
            return new Sample(
                    arrival,
                    repeatNumber,
                    token,
                    classify(exception),
                    0,
                    reason,
                    System.nanoTime() - latencyStartNanos,
                    sendDelayNanos,
                    false,
                    -1);
        }
    }

    void close() {
        client.connectionPool().evictAll();
    }

    private static ObservedOutcome classify(IOException exception) {
        return switch (exception) {
            case ConnectException refused -> ObservedOutcome.NOT_CONNECTED;
            case InterruptedIOException timeout -> ObservedOutcome.SILENT;
            default -> ObservedOutcome.BROKEN;
        };
    }

    private Request createRequest(Arrival arrival, String token, String requestId) {
        RequestKind kind = arrival.kind();
        String url = String.format(
                Locale.ROOT,
                "http://%s%s?token=%s&work-millis=%.3f&size=%d",
                balancer.nextAddress(),
                kind.path(),
                token,
                arrival.workMillis(),
                settings.paddingBytes());
        Request.Builder builder = new Request.Builder()
                .url(url)
                .header("Cassiabank-Caller", "caller-" + arrival.callerNumber())
                .header("Cassiabank-Request-Id", requestId)
                .header("Cassiabank-Deadline-Millis", Long.toString(settings.deadlineMillis()));
        if (kind.unrepeatable()) {
            builder.header("Idempotency-Key", token);
        }
        return "GET".equals(kind.method())
                ? builder.get().build()
                : builder.method(kind.method(), RequestBody.create(("order " + token).getBytes()))
                        .build();
    }
}
