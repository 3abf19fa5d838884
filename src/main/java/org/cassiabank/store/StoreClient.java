package org.cassiabank.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.Optional;
import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.Request;
import okhttp3.RequestBody;
import org.cassiabank.kernel.CassiabankException;
import org.cassiabank.kernel.ErrorCode;
import org.cassiabank.revision.ChangeStore;
import org.cassiabank.revision.StoredValue;

/**
 * A client of the platform's key-value store, which has the HTTP interface of Consul's KV store.
 *
 * <p>Instances are thread-safe.
 */
public final class StoreClient implements ChangeStore {
    private static final ObjectMapper MAPPER = JsonMapper.builder().build();
    private static final MediaType OCTET_STREAM = MediaType.get("application/octet-stream");

    private final PlatformHttpClient httpClient;

    private StoreClient(PlatformHttpClient httpClient) {
        this.httpClient = httpClient;
    }

    /**
     * Creates a client without connecting to the store.
     *
     * @param storeUrl the URL of the service, for example {@code http://127.0.0.1:8500}
     * @return the client
     * @throws IllegalArgumentException if the URL is not an HTTP URL
     */
    public static StoreClient create(URI storeUrl) {
        return new StoreClient(PlatformHttpClient.create(Objects.requireNonNull(storeUrl, "storeUrl")));
    }

    @Override
    public Optional<StoredValue> read(String key) {
        return parseStoredValue(get(key, 0, 0));
    }

    @Override
    public boolean create(String key, byte[] value) {
        return put(key, 0, value);
    }

    @Override
    public boolean compareAndSet(String key, long index, byte[] value) {
        if (index <= 0) {
            throw new IllegalArgumentException("index must be positive: " + index);
        }
        return put(key, index, value);
    }

    @Override
    public Optional<StoredValue> awaitChange(String key, long index, long waitMillis) {
        long knownIndex = index;
        if (knownIndex == 0) {
            PlatformResponse current = get(key, 0, 0);
            if (!current.isNotFound()) {
                return parseStoredValue(current);
            }
            knownIndex = current.index();
        }
        PlatformResponse response = get(key, knownIndex, waitMillis);
        return parseStoredValue(response).filter(value -> value.index() > index);
    }

    private PlatformResponse get(String key, long index, long waitMillis) {
        HttpUrl.Builder urlBuilder = httpClient.urlBuilder("/v1/kv/" + key);
        if (index > 0) {
            urlBuilder.addQueryParameter("index", Long.toString(index)).addQueryParameter("wait", waitMillis + "ms");
        }
        return httpClient.send(new Request.Builder().url(urlBuilder.build()).build(), waitMillis);
    }

    private boolean put(String key, long expectedIndex, byte[] value) {
        Objects.requireNonNull(value, "value");
        HttpUrl url = httpClient
                .urlBuilder("/v1/kv/" + key)
                .addQueryParameter("cas", Long.toString(expectedIndex))
                .build();
        Request request = new Request.Builder()
                .url(url)
                .put(RequestBody.create(value, OCTET_STREAM))
                .build();
        String result = new String(httpClient.send(request, 0).body(), StandardCharsets.UTF_8).strip();
        return switch (result) {
            case "true" -> true;
            case "false" -> false;
            default ->
                throw CassiabankException.of(
                        ErrorCode.STORE_UNAVAILABLE, "store responded to a write of " + key + " with: " + result);
        };
    }

    private static Optional<StoredValue> parseStoredValue(PlatformResponse response) {
        if (response.isNotFound()) {
            return Optional.empty();
        }
        try {
            JsonNode entry = MAPPER.readTree(response.body()).path(0);
            return Optional.of(new StoredValue(
                    entry.path("Value").binaryValue(), entry.path("ModifyIndex").longValue()));
        } catch (IOException | NullPointerException exception) {
            throw CassiabankException.withCause(
                    ErrorCode.STORE_UNAVAILABLE, "store responded to a read with an invalid document", exception);
        }
    }
}
