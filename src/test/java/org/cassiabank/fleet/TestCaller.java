package org.cassiabank.fleet;

import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import okhttp3.ConnectionPool;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

/** Sends requests to a proxy as a caller does, each on a new connection and without retries. */
final class TestCaller {
    private final OkHttpClient client = new OkHttpClient.Builder()
            .retryOnConnectionFailure(false)
            .followRedirects(false)
            .connectionPool(new ConnectionPool(0, 1, TimeUnit.MILLISECONDS))
            .callTimeout(15, TimeUnit.SECONDS)
            .readTimeout(15, TimeUnit.SECONDS)
            .build();
    private final Optional<String> deadlineMillis;

    TestCaller() {
        this(Optional.empty());
    }

    private TestCaller(Optional<String> deadlineMillis) {
        this.deadlineMillis = deadlineMillis;
    }

    /** Returns a caller that states how long it waits for each reply. */
    static TestCaller withDeadlineMillis(long deadlineMillis) {
        return new TestCaller(Optional.of(Long.toString(deadlineMillis)));
    }

    CallResult get(String address, String path) {
        return send(new Request.Builder().url("http://" + address + path).build());
    }

    CallResult getAs(String customer, String address, String path) {
        return send(new Request.Builder()
                .url("http://" + address + path)
                .header("Cassiabank-Caller", customer)
                .build());
    }

    CallResult order(String address, String key, int workMillis) {
        return send(new Request.Builder()
                .url("http://" + address + "/orders?work-millis=" + workMillis)
                .header("Idempotency-Key", key)
                .header("Cassiabank-Caller", "test")
                .post(RequestBody.create("order " + key, MediaType.get("text/plain")))
                .build());
    }

    /** Sends an order without an idempotency key. */
    CallResult post(String address, String path, String body) {
        return send(new Request.Builder()
                .url("http://" + address + path)
                .post(RequestBody.create(body, MediaType.get("text/plain")))
                .build());
    }

    private CallResult send(Request request) {
        Request.Builder builder = request.newBuilder();
        deadlineMillis.ifPresent(millis -> builder.header("Cassiabank-Deadline-Millis", millis));
        try (Response response = client.newCall(builder.build()).execute()) {
            return new CallResult(
                    response.code(),
                    response.header("Cassiabank-Outcome", "none"),
                    response.header("Cassiabank-Reason", ""),
                    Optional.ofNullable(response.header("Cassiabank-Retry-After-Millis")),
                    response.header("Cassiabank-Leaving", "").equals("true"),
                    response.body().string());
        } catch (IOException exception) {
            return new CallResult(0, "broken", String.valueOf(exception.getMessage()), Optional.empty(), false, "");
        }
    }

    /** The result of a request as its caller observes it; status 0 and outcome "broken" if no response was read. */
    record CallResult(
            int status,
            String outcome,
            String reason,
            Optional<String> retryAfterMillis,
            boolean isLeavingAnnounced,
            String body) {
        boolean isAnswered() {
            return status == 200 && outcome.equals("answered");
        }
    }
}
