package org.cassiabank.backend;

import java.net.Proxy;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;
import okhttp3.Call;
import okhttp3.ConnectionPool;
import okhttp3.Headers;
import okhttp3.HttpUrl;
import okhttp3.OkHttpClient;
import okhttp3.Protocol;
import okhttp3.Request;
import okhttp3.RequestBody;

/**
 * Sends requests to backend servers, each at most once.
 *
 * <p>Instances are thread-safe. Calls block, so they are made on virtual threads.
 */
public final class BackendClient implements AutoCloseable {
    /** Enough for a choice, and few enough to be named in each request for a slot. */
    private static final int MOST_CONNECTED = 4;

    private static final Set<String> METHODS_WITHOUT_BODY = Set.of("GET", "HEAD");

    private final BackendClientSettings settings;
    private final HeaderConventions conventions;
    private final OkHttpClient fresh;
    /** By address: the pool of OkHttp limits idle connections over all its servers, not for each one. */
    private final Map<String, Pooled> pooled = new ConcurrentHashMap<>();

    private BackendClient(BackendClientSettings settings, HeaderConventions conventions) {
        this.settings = settings;
        this.conventions = conventions;
        this.fresh = new OkHttpClient.Builder()
                .protocols(List.of(Protocol.HTTP_1_1))
                .proxy(Proxy.NO_PROXY)
                .followRedirects(false)
                .followSslRedirects(false)
                .retryOnConnectionFailure(false)
                .fastFallback(false)
                .connectTimeout(settings.connectTimeoutMillis(), TimeUnit.MILLISECONDS)
                .readTimeout(0, TimeUnit.MILLISECONDS)
                .writeTimeout(0, TimeUnit.MILLISECONDS)
                .socketFactory(new WriteCountingSocketFactory())
                .connectionPool(new ConnectionPool(0, 1, TimeUnit.NANOSECONDS))
                .eventListenerFactory(call -> call.request().tag(AttemptTrace.class))
                .addNetworkInterceptor(
                        chain -> chain.request().tag(AttemptTrace.class).intercept(chain))
                .build();
    }

    /**
     * Creates a client.
     *
     * @param settings the limits
     * @return the client
     */
    public static BackendClient create(BackendClientSettings settings) {
        return create(settings, DefaultHeaderConventions.instance());
    }

    /**
     * Creates a client for servers that understand other headers than the project's own.
     *
     * @param settings the limits
     * @param conventions the headers
     * @return the client
     */
    public static BackendClient create(BackendClientSettings settings, HeaderConventions conventions) {
        return new BackendClient(
                Objects.requireNonNull(settings, "settings"), Objects.requireNonNull(conventions, "conventions"));
    }

    /**
     * Sends a request and waits for the complete response.
     *
     * @param request the request
     * @return how the attempt ended
     */
    public BackendResult send(BackendRequest request) {
        return newCall(request).execute();
    }

    /**
     * Prepares a request that can be cancelled while it runs.
     *
     * @param request the request
     * @return the attempt
     * @throws IllegalArgumentException if the address, the method or a header cannot be sent
     */
    public BackendCall newCall(BackendRequest request) {
        boolean mayUseIdle = request.repeatable() || settings.unrepeatableIdleMillis() > 0;
        Headers headers = BackendHeaders.toSend(request, conventions, mayUseIdle);
        AttemptTrace trace = new AttemptTrace();
        // Without an encoding of the caller, "identity" keeps OkHttp from asking for gzip; the trace takes it out
        // again.
        Headers.Builder forOkHttp = headers.newBuilder();
        if (headers.get("Accept-Encoding") == null) {
            forOkHttp.set("Accept-Encoding", "identity");
        }
        RequestBody body = METHODS_WITHOUT_BODY.contains(request.method()) ? null : RequestBody.create(request.body());
        Request message = new Request.Builder()
                .url(HttpUrl.get("http://" + request.address() + request.target()))
                .headers(forOkHttp.build())
                .method(request.method(), body)
                .tag(AttemptTrace.class, trace)
                .tag(Headers.class, headers)
                .build();
        if (!mayUseIdle) {
            return toCall(request, fresh.newCall(message), trace, () -> {});
        }
        Pooled server = pooled(request);
        if (!request.repeatable() && !server.hasAnsweredSince(unrepeatableLimitNanos())) {
            // The new connection is kept like others, so only the old ones go.
            server.client().connectionPool().evictAll();
        }
        return toCall(request, server.client().newCall(message), trace, server::noteAnswer);
    }

    private BackendCall toCall(BackendRequest request, Call call, AttemptTrace trace, Runnable onAnswer) {
        call.timeout().timeout(request.timeoutMillis(), TimeUnit.MILLISECONDS);
        return BackendCall.of(request, call, trace, settings.maximumResponseBytes(), conventions, onAnswer);
    }

    /**
     * Closes the idle connections to servers that are not contained in the list any more.
     *
     * @param addresses the addresses of all known servers
     */
    public void retainServers(Set<String> addresses) {
        pooled.forEach((address, server) -> {
            if (!addresses.contains(address)) {
                pooled.remove(address);
                server.client().connectionPool().evictAll();
            }
        });
    }

    /**
     * Closes all idle connections.
     */
    @Override
    public void close() {
        retainServers(Set.of());
        fresh.connectionPool().evictAll();
    }

    /**
     * Returns the servers of a service to which there is an idle connection that a request may use.
     *
     * @param service the name of the service
     * @param repeatable whether the request may run more than once
     * @return the names of the servers, at most {@link #MOST_CONNECTED}
     */
    public Set<String> serversWithIdleConnection(String service, boolean repeatable) {
        long sinceNanos = unrepeatableLimitNanos();
        return pooled.values().stream()
                .filter(server -> server.service().equals(service)
                        && !server.name().isEmpty()
                        && (repeatable || server.hasAnsweredSince(sinceNanos))
                        && server.client().connectionPool().idleConnectionCount() > 0)
                .limit(MOST_CONNECTED)
                .map(Pooled::name)
                .collect(Collectors.toUnmodifiableSet());
    }

    private Pooled pooled(BackendRequest request) {
        Pooled present = pooled.get(request.address());
        if (present == null || !present.name().equals(request.server())) {
            // An address that another server has taken over starts without connections.
            present = Pooled.of(request.service(), request.server(), newPooledClient());
            Pooled former = pooled.put(request.address(), present);
            if (former != null) {
                former.client().connectionPool().evictAll();
            }
        }
        return present;
    }

    private long unrepeatableLimitNanos() {
        return System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(settings.unrepeatableIdleMillis());
    }

    private OkHttpClient newPooledClient() {
        return fresh.newBuilder()
                .connectionPool(new ConnectionPool(
                        settings.maximumIdleConnectionsPerServer(),
                        settings.maximumIdleMillis(),
                        TimeUnit.MILLISECONDS))
                .build();
    }

    /**
     * The connections to one server.
     *
     * @param service the name of the service
     * @param name the name of the server
     * @param client the client with the pool
     * @param lastAnswerNanos when the last response ended, on the clock of {@link System#nanoTime()}
     */
    private record Pooled(String service, String name, OkHttpClient client, AtomicLong lastAnswerNanos) {

        static Pooled of(String service, String name, OkHttpClient client) {
            // Long enough ago for every limit, and safe to subtract from.
            return new Pooled(service, name, client, new AtomicLong(System.nanoTime() - Long.MAX_VALUE / 2));
        }

        boolean hasAnsweredSince(long nanos) {
            return lastAnswerNanos.get() - nanos >= 0;
        }

        void noteAnswer() {
            lastAnswerNanos.set(System.nanoTime());
        }
    }
}
