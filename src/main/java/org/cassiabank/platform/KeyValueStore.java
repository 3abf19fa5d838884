package org.cassiabank.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.cassiabank.http.KeepAliveSocketFactory;
import org.cassiabank.kernel.CassiabankException;
import org.cassiabank.kernel.ErrorCode;
import org.cassiabank.source.MetadataStore;
import org.cassiabank.source.StoreEntry;
import org.cassiabank.source.StoreEvent;
import org.cassiabank.source.StorePage;
import org.cassiabank.source.StoreWatchResult;

/**
 * Calls the platform's metadata store.
 */
final class KeyValueStore implements MetadataStore {
    private static final JsonMapper MAPPER = JsonMapper.builder().build();
    private static final MediaType JSON = MediaType.get("application/json");
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
    /** The store answers in 4 ms, and in up to 60 times that when it is slow. */
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(1_500);

    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int GONE = 410;

    private final HttpUrl base;
    private final OkHttpClient client;

    private KeyValueStore(HttpUrl base, OkHttpClient client) {
        this.base = base;
        this.client = client;
    }

    static KeyValueStore create(URI address) {
        HttpUrl base = HttpUrl.get(Objects.requireNonNull(address, "address"));
        if (base == null) {
            throw new IllegalArgumentException("not an HTTP URL: " + address);
        }
        return new KeyValueStore(
                base,
                new OkHttpClient.Builder()
                        .socketFactory(KeepAliveSocketFactory.create())
                        .connectTimeout(CONNECT_TIMEOUT)
                        .callTimeout(CALL_TIMEOUT)
                        .readTimeout(Duration.ZERO)
                        .retryOnConnectionFailure(false)
                        .followRedirects(false)
                        .build());
    }

    @Override
    public StorePage list(String prefix, String after) {
        HttpUrl.Builder url = url("/api/kv-range").addQueryParameter("prefix", prefix);
        if (!after.isEmpty()) {
            url.addQueryParameter("after", after);
        }
        Answer answer = call(new Request.Builder().url(url.build()), Duration.ZERO, Set.of(OK));
        List<StoreEntry> entries = new ArrayList<>();
        for (JsonNode item : answer.body().path("items")) {
            entries.add(entry(item));
        }
        return new StorePage(entries, answer.body().path("more_pages").asBoolean(), revision(answer.body()));
    }

    @Override
    public Optional<StoreWatchResult> watch(String prefix, long afterRevision, long waitMillis) {
        // "after" is a revision here and a key in a range read.
        HttpUrl url = url("/api/kv-watch")
                .addQueryParameter("prefix", prefix)
                .addQueryParameter("after", Long.toString(afterRevision))
                .addQueryParameter("wait_ms", Long.toString(waitMillis))
                .build();
        Answer answer = call(new Request.Builder().url(url), Duration.ofMillis(waitMillis), Set.of(OK, GONE));
        if (answer.status() == GONE) {
            return Optional.empty();
        }
        List<StoreEvent> events = new ArrayList<>();
        for (JsonNode event : answer.body().path("events")) {
            events.add(
                    event.path("deleted").asBoolean()
                            ? new StoreEvent.Removed(
                                    event.path("key").asText(),
                                    event.path("rev").asLong())
                            : new StoreEvent.Written(entry(event)));
        }
        return Optional.of(new StoreWatchResult(events, revision(answer.body())));
    }

    @Override
    public long grantLease(long millis) {
        ObjectNode body = MAPPER.createObjectNode().put("ttl_time", PlatformTimes.ofMillis(millis));
        JsonNode answer = post("/api/kv-lease", body, Set.of(OK)).body();
        if (!answer.path("lease").canConvertToLong()) {
            throw unavailable("POST /api/kv-lease", "the answer names no lease", null);
        }
        return answer.path("lease").asLong();
    }

    @Override
    public boolean renewLease(long lease) {
        return post("/api/kv-keep/" + lease, MAPPER.createObjectNode(), Set.of(OK, NOT_FOUND))
                        .status()
                == OK;
    }

    @Override
    public void endLease(long lease) {
        Request.Builder request = new Request.Builder()
                .url(url("/api/kv-lease-end/" + lease).build())
                .delete();
        call(request, Duration.ZERO, Set.of(OK, NOT_FOUND));
    }

    @Override
    public boolean put(String key, byte[] value, long lease) {
        ObjectNode body = MAPPER.createObjectNode();
        body.putArray("expected_rev");
        body.putArray("set_keys")
                .addObject()
                .put("key", key)
                .put("value", value)
                .put("lease", lease);
        body.putArray("remove");
        return post("/api/kv-txn", body, Set.of(OK, NOT_FOUND)).status() == OK;
    }

    @Override
    public void dropConnections() {
        client.dispatcher().cancelAll();
        client.connectionPool().evictAll();
    }

    private HttpUrl.Builder url(String path) {
        return base.newBuilder().encodedPath(path);
    }

    private Answer post(String path, ObjectNode body, Set<Integer> expected) {
        try {
            return call(
                    new Request.Builder()
                            .url(url(path).build())
                            .post(RequestBody.create(MAPPER.writeValueAsBytes(body), JSON)),
                    Duration.ZERO,
                    expected);
        } catch (JsonProcessingException exception) {
            throw new IllegalStateException("a tree of texts and numbers can always be written", exception);
        }
    }

    private Answer call(Request.Builder builder, Duration wait, Set<Integer> expected) {
        Request request = builder.build();
        OkHttpClient patient = wait.isZero()
                ? client
                : client.newBuilder().callTimeout(CALL_TIMEOUT.plus(wait)).build();
        try (Response response = patient.newCall(request).execute()) {
            byte[] body = response.body().bytes();
            if (!expected.contains(response.code())) {
                throw unavailable(describe(request), "status " + response.code(), null);
            }
            return new Answer(response.code(), response.code() == OK ? MAPPER.readTree(body) : MAPPER.nullNode());
        } catch (IOException exception) {
            throw unavailable(describe(request), exception.toString(), exception);
        }
    }

    private static StoreEntry entry(JsonNode item) {
        try {
            return new StoreEntry(
                    item.path("key").asText(),
                    item.path("value").binaryValue(),
                    item.path("rev").asLong());
        } catch (IOException | NullPointerException exception) {
            throw unavailable("entry " + item.path("key"), "its value is not base64", exception);
        }
    }

    private static long revision(JsonNode answer) {
        if (!answer.path("store_revision").canConvertToLong()) {
            throw unavailable("read", "the answer names no revision", null);
        }
        return answer.path("store_revision").asLong();
    }

    private static String describe(Request request) {
        return request.method() + " " + request.url().encodedPath();
    }

    private static CassiabankException unavailable(String call, String reason, Exception cause) {
        return CassiabankException.withCause(ErrorCode.STORE_UNAVAILABLE, "store call " + call + ": " + reason, cause);
    }

    /**
     * A response of the store.
     *
     * @param status the HTTP status
     * @param body the document, null node unless the status is 200
     */
    private record Answer(int status, JsonNode body) {}
}
