package org.cassiabank.store;

import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import okhttp3.ConnectionPool;
import okhttp3.HttpUrl;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import org.cassiabank.kernel.CassiabankException;
import org.cassiabank.kernel.ErrorCode;

/**
 * Sends requests to the platform's service and turns every failure into one kind of exception.
 */
final class PlatformHttp {
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);
    private static final int IDLE_CONNECTIONS = 2;
    private static final int SERVER_ERROR = 500;

    private final HttpUrl base;
    private final OkHttpClient client;

    private PlatformHttp(HttpUrl base, OkHttpClient client) {
        this.base = base;
        this.client = client;
    }

    static PlatformHttp create(URI service) {
        HttpUrl base = HttpUrl.get(service);
        if (base == null) {
            throw new IllegalArgumentException("not an HTTP URL: " + service);
        }
        // A retry inside the client could apply a write twice without the caller's knowledge.
        OkHttpClient client = new OkHttpClient.Builder()
                .connectTimeout(CONNECT_TIMEOUT)
                .callTimeout(CALL_TIMEOUT)
                .retryOnConnectionFailure(false)
                .followRedirects(false)
                .connectionPool(new ConnectionPool(IDLE_CONNECTIONS, CALL_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS))
                .build();
        return new PlatformHttp(base, client);
    }

    HttpUrl.Builder url(String path) {
        return base.newBuilder().encodedPath(path);
    }

    /**
     * Sends a request.
     *
     * @param request the request
     * @param extraWaitMillis time in milliseconds that the service may wait before it answers
     * @return the response with its body in memory
     * @throws CassiabankException with {@link ErrorCode#STORE_UNAVAILABLE} if there is no response or a server error
     */
    PlatformAnswer send(Request request, long extraWaitMillis) {
        OkHttpClient patient = extraWaitMillis == 0
                ? client
                : client.newBuilder()
                        .callTimeout(CALL_TIMEOUT.plusMillis(extraWaitMillis))
                        .readTimeout(CALL_TIMEOUT.plusMillis(extraWaitMillis))
                        .build();
        try (Response response = patient.newCall(request).execute()) {
            byte[] body = response.body().bytes();
            if (response.code() >= SERVER_ERROR) {
                throw unavailable(request, "status " + response.code(), null);
            }
            String index = response.header("X-Consul-Index", "0");
            return new PlatformAnswer(response.code(), Long.parseLong(index), body);
        } catch (IOException | NumberFormatException exception) {
            throw unavailable(request, exception.getMessage(), exception);
        }
    }

    private static CassiabankException unavailable(Request request, String reason, Exception cause) {
        return CassiabankException.withCause(
                ErrorCode.STORE_UNAVAILABLE,
                "platform service did not answer " + request.method() + " "
                        + request.url().encodedPath() + ": " + reason,
                cause);
    }
}
