package org.cassiabank.store;

import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import okhttp3.ConnectionPool;
import okhttp3.HttpUrl;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import org.cassiabank.http.SeparateResponses;
import org.cassiabank.kernel.CassiabankException;
import org.cassiabank.kernel.ErrorCode;

/**
 * Sends requests to the platform's service and reports every failure as {@link ErrorCode#STORE_UNAVAILABLE}.
 *
 * <p>Instances are thread-safe.
 */
final class PlatformHttpClient {
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);
    private static final int MAXIMUM_IDLE_CONNECTIONS = 2;
    private static final String INDEX_HEADER = "X-Consul-Index";

    /** Far above any list of instances, which comes as one document, and small beside the heap of a daemon. */
    private static final long MAXIMUM_RESPONSE_BYTES = 16 * 1_048_576;

    private static final int FIRST_SERVER_ERROR_STATUS = 500;

    private final HttpUrl baseUrl;
    private final OkHttpClient client;

    private PlatformHttpClient(HttpUrl baseUrl, OkHttpClient client) {
        this.baseUrl = baseUrl;
        this.client = client;
    }

    static PlatformHttpClient create(URI serviceUrl) {
        HttpUrl baseUrl = HttpUrl.get(serviceUrl);
        if (baseUrl == null) {
            throw new IllegalArgumentException("not an HTTP URL: " + serviceUrl);
        }
        // A retry inside the HTTP client could apply a write twice, and the code that sent it could not detect that.
        OkHttpClient client = SeparateResponses.newClientBuilder(
                        new ConnectionPool(MAXIMUM_IDLE_CONNECTIONS, CALL_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS),
                        MAXIMUM_RESPONSE_BYTES,
                        Set.of(INDEX_HEADER))
                .connectTimeout(CONNECT_TIMEOUT)
                .callTimeout(CALL_TIMEOUT)
                .build();
        return new PlatformHttpClient(baseUrl, client);
    }

    HttpUrl.Builder urlBuilder(String path) {
        return baseUrl.newBuilder().encodedPath(path);
    }

    /**
     * Sends a request and reads the complete response. Redirects are not followed.
     *
     * @param request the request
     * @param serverWaitMillis the time in milliseconds that the service may wait for a change before it responds, which
     *     extends the timeout of the call
     * @return the response with its body in memory
     * @throws CassiabankException with {@link ErrorCode#STORE_UNAVAILABLE} if no response arrives in time, if its
     *     status is 500 or above, if it is refused or too large, or if its index is not a number
     */
    PlatformResponse send(Request request, long serverWaitMillis) {
        OkHttpClient clientWithTimeout = serverWaitMillis == 0
                ? client
                : client.newBuilder()
                        .callTimeout(CALL_TIMEOUT.plusMillis(serverWaitMillis))
                        .readTimeout(CALL_TIMEOUT.plusMillis(serverWaitMillis))
                        .build();
        try (Response response = clientWithTimeout.newCall(request).execute()) {
            byte[] body = response.body().bytes();
            if (response.code() >= FIRST_SERVER_ERROR_STATUS) {
                throw unavailable(request, "status " + response.code(), null);
            }
            String index = response.header(INDEX_HEADER, "0");
            return new PlatformResponse(response.code(), Long.parseLong(index), body);
        } catch (IOException | NumberFormatException exception) {
            throw unavailable(request, exception.getMessage(), exception);
        }
    }

    private static CassiabankException unavailable(Request request, String reason, Exception cause) {
        return CassiabankException.withCause(
                ErrorCode.STORE_UNAVAILABLE,
                "platform call " + request.method() + " " + request.url().encodedPath() + " failed: " + reason,
                cause);
    }
}
