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
 * The platform's key-value store, met through the HTTP conventions of Consul's KV interface.
 *
 * <p>Instances are safe for use by many threads.
 */
public final class StoreClient implements ChangeStore {
    private static final ObjectMapper MAPPER = JsonMapper.builder().build();
    private static final MediaType BYTES = MediaType.get("application/octet-stream");

    private final PlatformHttp http;

    private StoreClient(PlatformHttp http) {
        this.http = http;
    }

    /**
     * Creates a client.
     *
     * @param store the URL of the service, for example {@code http://127.0.0.1:8500}
     * @return the client
     * @throws IllegalArgumentException if the URL is not an HTTP URL
     */
    public static StoreClient create(URI store) {
        return new StoreClient(PlatformHttp.create(Objects.requireNonNull(store, "store")));
    }

    @Override
    public Optional<StoredValue> read(String key) {
        return toValue(get(key, 0, 0));
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
            PlatformAnswer current = get(key, 0, 0);
            if (!current.isNotFound()) {
                return toValue(current);
            }
            knownIndex = current.index();
        }
        PlatformAnswer answer = get(key, knownIndex, waitMillis);
        return toValue(answer).filter(value -> value.index() > index);
    }

    private PlatformAnswer get(String key, long index, long waitMillis) {
        HttpUrl.Builder url = http.url("/v1/kv/" + key);
        if (index > 0) {
            url.addQueryParameter("index", Long.toString(index)).addQueryParameter("wait", waitMillis + "ms");
        }
        return http.send(new Request.Builder().url(url.build()).build(), waitMillis);
    }

    private boolean put(String key, long index, byte[] value) {
        Objects.requireNonNull(value, "value");
        HttpUrl url = http.url("/v1/kv/" + key)
                .addQueryParameter("cas", Long.toString(index))
                .build();
        Request request = new Request.Builder()
                .url(url)
                .put(RequestBody.create(value, BYTES))
                .build();
        String answer = new String(http.send(request, 0).body(), StandardCharsets.UTF_8).strip();
        return switch (answer) {
            case "true" -> true;
            case "false" -> false;
            default ->
                throw CassiabankException.of(
                        ErrorCode.STORE_UNAVAILABLE, "store answered a write of " + key + " with: " + answer);
        };
    }

    private static Optional<StoredValue> toValue(PlatformAnswer answer) {
        if (answer.isNotFound()) {
            return Optional.empty();
        }
        try {
            JsonNode entry = MAPPER.readTree(answer.body()).path(0);
            return Optional.of(new StoredValue(
                    entry.path("Value").binaryValue(), entry.path("ModifyIndex").longValue()));
        } catch (IOException | NullPointerException exception) {
            throw CassiabankException.withCause(
                    ErrorCode.STORE_UNAVAILABLE, "store answered a read with an unreadable document", exception);
        }
    }
}
