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
 * Sends the requests of a schedule and classifies the responses. Thread-safe.
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
                // A repeat by the client library would hide broken connections and could run a request twice.
                .retryOnConnectionFailure(false)
                .followRedirects(false)
                .protocols(java.util.List.of(Protocol.HTTP_1_1))
                .connectionPool(new ConnectionPool(settings.idleConnections(), 10, TimeUnit.SECONDS))
                .connectTimeout(Duration.ofMillis(1_000))
                .readTimeout(Duration.ZERO)
                .callTimeout(Duration.ofMillis(settings.patienceMillis()))
                .build();
        return new RequestSender(client, balancer, settings);
    }

    /** Sends a request once; {@code sinceNanos} is the time from which the latency counts. */
    Sample send(Arrival arrival, int attempt, long sinceNanos) {
        String token = settings.run() + "-" + arrival.number();
        String requestId = token + "-" + attempt;
        long delay = System.nanoTime() - sinceNanos;
        Request request = request(arrival, token, requestId);
        try (Response response = client.newCall(request).execute()) {
            ReceivedAnswer answer = new ReceivedAnswer(
                    response.code(),
                    response.header("Cassiabank-Outcome", ""),
                    response.header("Cassiabank-Reason", ""),
                    response.header("Cassiabank-Request-Id", ""),
                    response.header("Cassiabank-Not-Run") != null,
                    response.body().string());
            AnswerClass answerClass = settings.direct()
                    ? AnswerClassifier.classifyDirect(answer, token)
                    : AnswerClassifier.classify(answer, token);
            long retryAfter = Long.parseLong(response.header("Cassiabank-Retry-After-Millis", "-1"));
            String reason = answerClass == AnswerClass.UNMARKED ? "status " + answer.status() : answer.reason();
            return new Sample(
                    arrival,
                    attempt,
                    token,
                    answerClass,
                    answer.status(),
                    reason,
                    System.nanoTime() - sinceNanos,
                    delay,
                    !answer.requestId().isEmpty() && !answer.requestId().equals(requestId),
                    retryAfter);
        } catch (IOException exception) {
            String reason = exception.getClass().getSimpleName();
            return new Sample(
                    arrival,
                    attempt,
                    token,
                    classify(exception),
                    0,
                    reason,
                    System.nanoTime() - sinceNanos,
                    delay,
                    false,
                    -1);
        }
    }

    void close() {
        client.connectionPool().evictAll();
    }

    private static AnswerClass classify(IOException exception) {
        return switch (exception) {
            case ConnectException refused -> AnswerClass.NOT_CONNECTED;
            case InterruptedIOException timeout -> AnswerClass.SILENT;
            default -> AnswerClass.BROKEN;
        };
    }

    private Request request(Arrival arrival, String token, String requestId) {
        RequestKind kind = arrival.kind();
        String url = String.format(
                Locale.ROOT,
                "http://%s%s?token=%s&work-millis=%.3f&size=%d",
                balancer.next(),
                kind.path(),
                token,
                arrival.workMillis(),
                settings.answerBytes());
        Request.Builder builder = new Request.Builder()
                .url(url)
                .header("Cassiabank-Caller", "caller-" + arrival.caller())
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
