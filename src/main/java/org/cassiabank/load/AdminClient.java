package org.cassiabank.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import okhttp3.ConnectionPool;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

/**
 * Sends HTTP requests to control and admin ports, each on a connection of its own. Thread-safe.
 *
 * <p>Connections are not reused, because a backend stand-in can stop responding on its open connections.
 */
public final class AdminClient {
    private static final MediaType JSON = MediaType.get("application/json");
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final OkHttpClient client;

    private AdminClient(OkHttpClient client) {
        this.client = client;
    }

    /**
     * Creates a client that neither reuses connections nor retries calls.
     *
     * @param timeoutMillis the longest duration of a complete call, in milliseconds
     * @return the client
     */
    public static AdminClient create(long timeoutMillis) {
        return new AdminClient(new OkHttpClient.Builder()
                .connectionPool(new ConnectionPool(0, 1, TimeUnit.MILLISECONDS))
                .retryOnConnectionFailure(false)
                .callTimeout(Duration.ofMillis(timeoutMillis))
                .build());
    }

    /**
     * Sends a request and waits for the complete response.
     *
     * @param method the HTTP method
     * @param url the URL
     * @param body the JSON body; not sent with GET
     * @return the status and body; status 0 after an I/O error or a timeout
     */
    public AdminResponse send(String method, String url, String body) {
        RequestBody requestBody = "GET".equals(method) ? null : RequestBody.create(body, JSON);
        Request request = new Request.Builder()
                .url(url)
                .method(method, requestBody)
                .header("Connection", "close")
                .build();
        try (Response response = client.newCall(request).execute()) {
            return new AdminResponse(response.code(), response.body().string());
        } catch (IOException exception) {
            return new AdminResponse(0, String.valueOf(exception.getMessage()));
        }
    }

    /**
     * Requests a JSON document with GET.
     *
     * @param url the URL
     * @return the document, or a {@link MissingNode} if there was no response with status 200 and valid JSON
     */
    public JsonNode getJson(String url) {
        AdminResponse response = send("GET", url, "");
        try {
            return response.status() == 200 ? MAPPER.readTree(response.body()) : MissingNode.getInstance();
        } catch (JsonProcessingException exception) {
            return MissingNode.getInstance();
        }
    }

    /**
     * A response of a control port.
     *
     * @param status the HTTP status, or 0 if there was no response
     * @param body the body, or the message of the I/O error if there was no response
     */
    public record AdminResponse(int status, String body) {}
}
