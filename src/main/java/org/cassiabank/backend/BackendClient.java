package org.cassiabank.backend;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Proxy;
import java.net.Socket;
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
import org.cassiabank.http.DecodingTurns;

/**
 * Sends requests to backend servers, each at most once, without the retries and redirects of OkHttp.
 *
 * <p>Instances are thread-safe. Calls block, so callers run them on virtual threads.
 */
public final class BackendClient implements AutoCloseable {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    /** Offers the scheduler a choice and keeps the list of servers in each slot request short. */
    private static final int MAXIMUM_CONNECTED_SERVERS = 4;

    private static final Set<String> METHODS_WITHOUT_BODY = Set.of("GET", "HEAD");

    private final BackendClientSettings settings;
    private final HeaderConventions conventions;
    private final ResponseMemory responseMemory;
    /** Closes each connection after its response. */
    private final OkHttpClient singleUseClient;
    /** A pool for each address, because an OkHttp pool limits its idle connections in total, not for each server. */
    private final Map<String, PooledServer> serversByAddress = new ConcurrentHashMap<>();

    private BackendClient(
            BackendClientSettings settings, HeaderConventions conventions, ResponseMemory responseMemory) {
        this.settings = settings;
        this.conventions = conventions;
        this.responseMemory = responseMemory;
        this.singleUseClient = new OkHttpClient.Builder()
                .protocols(List.of(Protocol.HTTP_1_1))
                .proxy(Proxy.NO_PROXY)
                .followRedirects(false)
                .followSslRedirects(false)
                .retryOnConnectionFailure(false)
                .fastFallback(false)
                .connectTimeout(settings.connectTimeoutMillis(), TimeUnit.MILLISECONDS)
                .readTimeout(0, TimeUnit.MILLISECONDS)
                .writeTimeout(0, TimeUnit.MILLISECONDS)
                .socketFactory(MeteredSocketFactory.create(DecodingTurns.create()))
                .connectionPool(new ConnectionPool(0, 1, TimeUnit.NANOSECONDS))
                .eventListenerFactory(call -> call.request().tag(AttemptTrace.class))
                .addNetworkInterceptor(
                        chain -> chain.request().tag(AttemptTrace.class).intercept(chain))
                .build();
    }

    /**
     * Creates a client that uses the {@link DefaultHeaderConventions} and {@link ResponseMemory#ofHeap()}.
     *
     * @param settings the limits for connections and responses
     * @return the client
     */
    public static BackendClient create(BackendClientSettings settings) {
        return create(settings, DefaultHeaderConventions.instance(), ResponseMemory.ofHeap());
    }

    /**
     * Creates a client for backend servers with the given header conventions.
     *
     * @param settings the limits for connections and responses
     * @param conventions the headers that the servers expect and send
     * @param responseMemory the memory for all responses that are being received
     * @return the client
     */
    public static BackendClient create(
            BackendClientSettings settings, HeaderConventions conventions, ResponseMemory responseMemory) {
        return new BackendClient(
                Objects.requireNonNull(settings, "settings"),
                Objects.requireNonNull(conventions, "conventions"),
                Objects.requireNonNull(responseMemory, "responseMemory"));
    }

    /**
     * Sends a request and waits for the complete response.
     *
     * @param request the request
     * @return the result of the attempt; a failure of the server or the network is a result too, not an exception
     * @throws IllegalArgumentException if the address, the method or a header cannot be sent
     */
    public BackendResult send(BackendRequest request) {
        return newCall(request).execute();
    }

    /**
     * Checks whether a request can be sent to a server at all. The server need not exist.
     *
     * @param request the request
     * @param conventions the headers that the servers expect
     * @throws IllegalArgumentException if the address, the method or a header cannot be sent
     */
    public static void requireSendable(BackendRequest request, HeaderConventions conventions) {
        toOkHttpRequest(request, BackendHeaders.requestHeaders(request, conventions, true));
    }

    /**
     * Prepares an attempt that can be cancelled while it runs. Nothing is sent before {@link BackendCall#execute()}.
     *
     * @param request the request
     * @return the attempt
     * @throws IllegalArgumentException if the address, the method or a header cannot be sent
     */
    public BackendCall newCall(BackendRequest request) {
        boolean mayReuseConnection = request.repeatable() || settings.unrepeatableIdleMillis() > 0;
        Headers headers = BackendHeaders.requestHeaders(request, conventions, mayReuseConnection);
        AttemptTrace trace = AttemptTrace.create(
                request.repeatable()
                        ? Long.MAX_VALUE
                        : TimeUnit.MILLISECONDS.toNanos(settings.unrepeatableIdleMillis()),
                request.requestId());
        Request okHttpRequest =
                toOkHttpRequest(request, headers).tag(AttemptTrace.class, trace).build();
        if (!mayReuseConnection) {
            return toBackendCall(request, singleUseClient.newCall(okHttpRequest), trace, () -> {}, () -> {});
        }
        PooledServer server = pooledServer(request);
        if (!request.repeatable() && !server.hasRespondedSince(oldestUnrepeatableResponseNanos())) {
            // Closes only the old connections; the new one stays in the pool after its response.
            server.client().connectionPool().evictAll();
        }
        return toBackendCall(
                request, server.client().newCall(okHttpRequest), trace, server::recordResponse, () -> server.client()
                        .connectionPool()
                        .evictAll());
    }

    private static Request.Builder toOkHttpRequest(BackendRequest request, Headers headers) {
        // If the caller names no encoding, "identity" keeps OkHttp from requesting gzip; the trace removes it again.
        Headers.Builder okHttpHeaders = headers.newBuilder();
        if (headers.get("Accept-Encoding") == null) {
            okHttpHeaders.set("Accept-Encoding", "identity");
        }
        RequestBody body = METHODS_WITHOUT_BODY.contains(request.method()) ? null : ArrayRequestBody.of(request.body());
        return new Request.Builder()
                .url(HttpUrl.get("http://" + request.address() + request.target()))
                .headers(okHttpHeaders.build())
                .method(request.method(), body)
                .tag(Headers.class, headers);
    }

    private BackendCall toBackendCall(
            BackendRequest request,
            Call call,
            AttemptTrace trace,
            Runnable onValidResponse,
            Runnable onUnusableConnection) {
        call.timeout().timeout(request.timeoutMillis(), TimeUnit.MILLISECONDS);
        return BackendCall.of(
                request,
                call,
                trace,
                settings.maximumResponseBytes(),
                conventions,
                onValidResponse,
                onUnusableConnection,
                responseMemory);
    }

    /**
     * Closes the idle connections to all servers other than the given ones.
     *
     * @param addresses the addresses (host and port) of the servers in the current instance list
     */
    public void retainServers(Set<String> addresses) {
        serversByAddress.forEach((address, server) -> {
            if (!addresses.contains(address)) {
                serversByAddress.remove(address);
                server.client().connectionPool().evictAll();
            }
        });
    }

    /**
     * Tells whether a connection to a server can be opened, which is closed again.
     *
     * @param address the host and port of the server
     * @return true if it opens within the connect timeout
     */
    public boolean canConnect(String address) {
        HttpUrl url = HttpUrl.get("http://" + address);
        try (Socket socket = new Socket()) {
            socket.connect(
                    new InetSocketAddress(url.host(), url.port()), Math.toIntExact(settings.connectTimeoutMillis()));
            return true;
        } catch (IOException exception) {
            LOGGER.atFine().withCause(exception).log("no connection to %s", address);
            return false;
        }
    }

    /** Closes all idle connections, because the path to the servers was lost. Running attempts continue. */
    public void closeIdleConnections() {
        serversByAddress
                .values()
                .forEach(server -> server.client().connectionPool().evictAll());
    }

    /**
     * Closes all idle connections. Running attempts continue.
     */
    @Override
    public void close() {
        retainServers(Set.of());
        singleUseClient.connectionPool().evictAll();
    }

    /**
     * Returns servers of a service to which an idle connection exists that a request may use.
     *
     * @param service the name of the service
     * @param repeatable whether the request may run more than once; others only use servers whose last valid response
     *     is at most {@link BackendClientSettings#unrepeatableIdleMillis()} old
     * @return the names of the servers, at most {@link #MAXIMUM_CONNECTED_SERVERS}
     */
    public Set<String> serversWithIdleConnection(String service, boolean repeatable) {
        long sinceNanos = oldestUnrepeatableResponseNanos();
        return serversByAddress.values().stream()
                .filter(server -> server.service().equals(service)
                        && !server.name().isEmpty()
                        && (repeatable || server.hasRespondedSince(sinceNanos))
                        && server.client().connectionPool().idleConnectionCount() > 0)
                .limit(MAXIMUM_CONNECTED_SERVERS)
                .map(PooledServer::name)
                .collect(Collectors.toUnmodifiableSet());
    }

    private PooledServer pooledServer(BackendRequest request) {
        PooledServer server = serversByAddress.get(request.address());
        if (server == null || !server.name().equals(request.server())) {
            // After an address moves to another server, no connection to the former server is reused.
            server = PooledServer.of(request.service(), request.server(), newPooledClient());
            PooledServer replacedServer = serversByAddress.put(request.address(), server);
            if (replacedServer != null) {
                replacedServer.client().connectionPool().evictAll();
            }
        }
        return server;
    }

    private long oldestUnrepeatableResponseNanos() {
        return System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(settings.unrepeatableIdleMillis());
    }

    private OkHttpClient newPooledClient() {
        return singleUseClient
                .newBuilder()
                .connectionPool(new ConnectionPool(
                        settings.maximumIdleConnectionsPerServer(),
                        settings.maximumIdleMillis(),
                        TimeUnit.MILLISECONDS))
                .build();
    }

    /**
     * The pooled connections to one backend server.
     *
     * @param service the name of the service, empty if it is unknown
     * @param name the name of the server, empty if it is unknown
     * @param client the client that owns the pool
     * @param lastResponseNanos the {@link System#nanoTime()} at which the last valid response was complete
     */
    private record PooledServer(String service, String name, OkHttpClient client, AtomicLong lastResponseNanos) {

        static PooledServer of(String service, String name, OkHttpClient client) {
            // Earlier than every limit, and no difference to it overflows.
            return new PooledServer(service, name, client, new AtomicLong(System.nanoTime() - Long.MAX_VALUE / 2));
        }

        boolean hasRespondedSince(long sinceNanos) {
            return lastResponseNanos.get() - sinceNanos >= 0;
        }

        void recordResponse() {
            lastResponseNanos.set(System.nanoTime());
        }
    }
}
