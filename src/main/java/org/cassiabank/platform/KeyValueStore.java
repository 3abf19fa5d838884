package org.cassiabank.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.io.InterruptedIOException;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import okhttp3.ConnectionPool;
import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.cassiabank.http.ResponseTooLargeException;
import org.cassiabank.http.SeparateResponses;
import org.cassiabank.kernel.CassiabankException;
import org.cassiabank.source.MetadataStore;
import org.cassiabank.source.StoreEvent;
import org.cassiabank.source.StoreLease;
import org.cassiabank.source.StorePage;
import org.cassiabank.source.StoreRevision;
import org.cassiabank.source.StoreWatchResult;

/**
 * A client of the platform's metadata store, which has a JSON interface over HTTP.
 *
 * <p>Instances are thread-safe.
 */
final class KeyValueStore implements MetadataStore {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final JsonMapper MAPPER = JsonMapper.builder()
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .build();
    private static final MediaType JSON = MediaType.get("application/json");
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
    /** The store responds within 4 ms, and within up to 60 times that when it is slow. */
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(1_500);

    /**
     * A page holds about 1 MB, and one value may have 1 MB, a third more in base64. Twice the sum also covers the names
     * of fields.
     */
    private static final long MAXIMUM_RESPONSE_BYTES = 2 * (1 + 1) * 4 * 1_048_576 / 3;

    /** Rises by one each time the store comes back from an older copy of its contents. */
    private static final String ERA_HEADER = "Store-Era";

    private static final String LEASE_FIELD = "lease";
    private static final String DURATION_FIELD = "ttl_time";
    private static final String REVISION_FIELD = "rev";

    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int GONE = 410;

    private final HttpUrl baseUrl;
    private final OkHttpClient client;
    /** The highest era that a response named, 0 before the first one. */
    private final AtomicLong latestEra = new AtomicLong();
    /** The highest revision that a response named: a later read cannot be at an earlier one. */
    private final AtomicReference<StoreRevision> latestRevision = new AtomicReference<>(StoreRevision.none());

    private KeyValueStore(HttpUrl baseUrl, OkHttpClient client) {
        this.baseUrl = baseUrl;
        this.client = client;
    }

    /**
     * Creates a client without connecting to the store.
     *
     * @param address the URL of the store
     * @return the client
     * @throws IllegalArgumentException if the address is not an HTTP URL
     */
    static KeyValueStore create(URI address) {
        HttpUrl baseUrl = HttpUrl.get(Objects.requireNonNull(address, "address"));
        if (baseUrl == null) {
            throw new IllegalArgumentException("not an HTTP URL: " + address);
        }
        return new KeyValueStore(
                baseUrl,
                SeparateResponses.newClientBuilder(new ConnectionPool(), MAXIMUM_RESPONSE_BYTES, Set.of(ERA_HEADER))
                        .connectTimeout(CONNECT_TIMEOUT)
                        .callTimeout(CALL_TIMEOUT)
                        .readTimeout(Duration.ZERO)
                        .build());
    }

    @Override
    public long era() {
        return latestEra.get();
    }

    @Override
    public StorePage list(String prefix, String afterKey) {
        HttpUrl.Builder urlBuilder = urlBuilder("/api/kv-range").addQueryParameter("prefix", prefix);
        if (!afterKey.isEmpty()) {
            urlBuilder.addQueryParameter("after", afterKey);
        }
        StoreRevision knownRevision = latestRevision.get();
        StoreResponse response = call(new Request.Builder().url(urlBuilder.build()), CALL_TIMEOUT, Set.of(OK));
        StoreDocument document = response.document();
        StoreRevision revision = document.storeRevision(response.era());
        if (knownRevision.isAfter(revision)) {
            // The next response comes over a new connection, and tells whether the store has indeed gone back.
            latestRevision.set(StoreRevision.none());
            client.connectionPool().evictAll();
            throw unavailable(
                    response.call(), "it is at revision " + revision + ", behind revision " + knownRevision, null);
        }
        recordRevision(revision);
        return new StorePage(
                document.entries("items", prefix, afterKey, response.era()), document.flag("more_pages"), revision);
    }

    @Override
    public Optional<StoreWatchResult> watch(
            String prefix, StoreRevision afterRevision, long waitMillis, long replyMillis) {
        // The query parameter "after" is a revision in a watch and a key in a range read.
        HttpUrl url = urlBuilder("/api/kv-watch")
                .addQueryParameter("prefix", prefix)
                .addQueryParameter("after", Long.toString(afterRevision.number()))
                .addQueryParameter("wait_ms", Long.toString(waitMillis))
                .build();
        StoreResponse response;
        try {
            response =
                    call(new Request.Builder().url(url), Duration.ofMillis(waitMillis + replyMillis), Set.of(OK, GONE));
        } catch (CassiabankException exception) {
            if (exception.getCause() instanceof ResponseTooLargeException) {
                // A read of all entries comes in pages.
                LOGGER.atWarning().log("the changes after revision %s are too many: %s", afterRevision, exception);
                return Optional.empty();
            }
            throw exception;
        }
        if (response.status() == GONE) {
            return Optional.empty();
        }
        StoreDocument document = response.document();
        List<StoreEvent> events = document.events("events", prefix, response.era());
        StoreRevision revision = document.storeRevision(response.era());
        if (response.era() == afterRevision.era() && afterRevision.isAfter(revision)) {
            LOGGER.atWarning().log(
                    "%s after revision %s is answered at revision %s", response.call(), afterRevision, revision);
            client.connectionPool().evictAll();
            return Optional.empty();
        }
        recordRevision(revision);
        return Optional.of(new StoreWatchResult(events, revision));
    }

    @Override
    public StoreLease grantLease(long durationMillis) {
        ObjectNode body = MAPPER.createObjectNode().put(DURATION_FIELD, PlatformDurations.formatMillis(durationMillis));
        StoreResponse response = post("/api/kv-lease", body, Set.of(OK));
        response.document().requireOnly(LEASE_FIELD, DURATION_FIELD);
        return new StoreLease(response.document().positiveNumber(LEASE_FIELD), response.era());
    }

    @Override
    public boolean renewLease(StoreLease lease) {
        StoreResponse response = post("/api/kv-keep/" + lease.id(), MAPPER.createObjectNode(), Set.of(OK, NOT_FOUND));
        if (response.status() == NOT_FOUND) {
            return false;
        }
        response.document().requireOnly(DURATION_FIELD);
        return true;
    }

    @Override
    public boolean put(String key, byte[] value, StoreLease lease) {
        ObjectNode body = MAPPER.createObjectNode();
        body.putArray("expected_rev");
        body.putArray("set_keys")
                .addObject()
                .put("key", key)
                .put("value", value)
                .put(LEASE_FIELD, lease.id());
        body.putArray("remove");
        return transact(body, Set.of(OK, NOT_FOUND)).status() == OK;
    }

    @Override
    public void remove(String key) {
        ObjectNode body = MAPPER.createObjectNode();
        body.putArray("expected_rev");
        body.putArray("set_keys");
        body.putArray("remove").add(key);
        transact(body, Set.of(OK));
    }

    @Override
    public void closeConnections() {
        client.dispatcher().cancelAll();
        client.connectionPool().evictAll();
    }

    private StoreResponse transact(ObjectNode body, Set<Integer> expectedStatuses) {
        StoreResponse response = post("/api/kv-txn", body, expectedStatuses);
        if (response.status() == OK) {
            response.document().requireOnly(REVISION_FIELD);
            recordRevision(new StoreRevision(response.era(), response.document().positiveNumber(REVISION_FIELD)));
        }
        return response;
    }

    private void recordRevision(StoreRevision revision) {
        latestRevision.accumulateAndGet(revision, StoreRevision::latest);
    }

    private HttpUrl.Builder urlBuilder(String path) {
        return baseUrl.newBuilder().encodedPath(path);
    }

    private StoreResponse post(String path, ObjectNode body, Set<Integer> expectedStatuses) {
        try {
            return call(
                    new Request.Builder()
                            .url(urlBuilder(path).build())
                            .post(RequestBody.create(MAPPER.writeValueAsBytes(body), JSON)),
                    CALL_TIMEOUT,
                    expectedStatuses);
        } catch (JsonProcessingException exception) {
            throw new IllegalStateException("a JSON tree without custom objects can always be serialized", exception);
        }
    }

    private StoreResponse call(Request.Builder builder, Duration timeout, Set<Integer> expectedStatuses) {
        Request request = builder.build();
        OkHttpClient clientWithTimeout = timeout.equals(CALL_TIMEOUT)
                ? client
                : client.newBuilder().callTimeout(timeout).build();
        try (Response response = clientWithTimeout.newCall(request).execute()) {
            long era = recordEra(response);
            byte[] body = response.body().bytes();
            if (!expectedStatuses.contains(response.code())) {
                throw unavailable(describe(request), "status " + response.code(), null);
            }
            return new StoreResponse(
                    describe(request),
                    response.code(),
                    era,
                    StoreDocument.of(
                            describe(request), response.code() == OK ? MAPPER.readTree(body) : MAPPER.nullNode()));
        } catch (IOException exception) {
            if (exception instanceof InterruptedIOException) {
                // Idle connections on the same path may have gone silent too.
                client.connectionPool().evictAll();
            }
            throw unavailable(describe(request), exception.toString(), exception);
        }
    }

    /** Records the era that a response names and returns it. */
    private long recordEra(Response response) {
        String text = response.header(ERA_HEADER, "0");
        try {
            long era = Long.parseUnsignedLong(text.strip());
            long formerEra = latestEra.getAndAccumulate(era, Math::max);
            if (era != formerEra && formerEra > 0) {
                LOGGER.atWarning().log(
                        "the store names era %d in its response to %s, before era %d",
                        era, describe(response.request()), formerEra);
            }
            return era;
        } catch (NumberFormatException exception) {
            throw unavailable(describe(response.request()), ERA_HEADER + " is not a number: " + text, exception);
        }
    }

    private static String describe(Request request) {
        return request.method() + " " + request.url().encodedPath();
    }

    private static CassiabankException unavailable(String call, String reason, Exception cause) {
        return StoreDocument.failure(call, reason, cause);
    }

    /**
     * A response of the store.
     *
     * @param call the call, for messages
     * @param status the HTTP status
     * @param era the era of the store, 0 if the response names none
     * @param document the body, a JSON null unless the status is 200
     */
    private record StoreResponse(String call, int status, long era, StoreDocument document) {}
}
