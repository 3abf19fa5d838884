package org.cassiabank.proxy;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.lang.reflect.Proxy;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cassiabank.admission.ResponseTimes;
import org.cassiabank.admission.ServerNotice;
import org.cassiabank.backend.BackendClient;
import org.cassiabank.backend.BackendClientSettings;
import org.cassiabank.backend.BackendHeaders;
import org.cassiabank.backend.DefaultHeaderConventions;
import org.cassiabank.backend.HeaderConventions;
import org.cassiabank.backend.ResponseMemory;
import org.cassiabank.declaration.CostHint;
import org.cassiabank.declaration.Selector;
import org.cassiabank.declaration.ServiceDeclaration;
import org.cassiabank.health.RequestDigest;
import org.cassiabank.kernel.BackgroundTasks;
import org.cassiabank.membership.Instance;
import org.cassiabank.membership.InstanceList;
import org.cassiabank.membership.InstanceRole;
import org.cassiabank.membership.InstanceState;
import org.cassiabank.peer.ControlTrafficRecorder;
import org.cassiabank.peer.PeerClientPool;
import org.cassiabank.peer.PeerServer;
import org.cassiabank.peer.PeerSocketFactories;
import org.cassiabank.peer.generated.Peer;
import org.cassiabank.peer.generated.SlotOutcome;
import org.cassiabank.peer.generated.SlotRequest;
import org.cassiabank.source.VersionedConfiguration;

/**
 * A complete request path on the loopback interface: a caller, an entry proxy, the owner of a shard as a peer, and a
 * server. It shares no state with the daemon and sends nothing to servers or peers of the fleet.
 */
final class RequestPathExercise implements AutoCloseable {
    private static final String LOOPBACK = "127.0.0.1";
    private static final String SERVICE = "warm-start";
    private static final int SLOTS = 2;
    private static final int TIMEOUT_MILLIS = 1_000;
    private static final byte[] HEAD_END = {'\r', '\n', '\r', '\n'};
    private static final byte[] REQUEST =
            "GET /warm-start HTTP/1.1\r\nHost: localhost\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    private final Deque<AutoCloseable> resources = new ArrayDeque<>();
    private Socket caller;
    private InputStream replies;

    private RequestPathExercise() {}

    /**
     * Opens the path.
     *
     * @param settings the settings of the daemon
     * @return the open path
     * @throws IOException if a socket on the loopback interface cannot be opened
     */
    static RequestPathExercise open(ProxySettings settings) throws IOException {
        RequestPathExercise exercise = new RequestPathExercise();
        try {
            exercise.start(settings);
            return exercise;
        } catch (IOException | RuntimeException exception) {
            exercise.close();
            throw exception;
        }
    }

    private void start(ProxySettings settings) throws IOException {
        ServerSocket server = new ServerSocket(0, 0, InetAddress.getByName(LOOPBACK));
        resources.push(server);
        Thread.ofVirtual().start(() -> acceptConnections(server));
        int ownerPort = freePort();
        FleetState fleet = FleetState.createWithoutLog(settings.region());
        fleet.install(new VersionedConfiguration(
                1,
                List.of(
                        new ServiceDeclaration(SERVICE, SLOTS, 0, TIMEOUT_MILLIS),
                        Selector.forAllHosts(
                                SERVICE,
                                SERVICE,
                                Set.of("GET"),
                                "/warm-start",
                                "*",
                                Map.of(),
                                1,
                                true,
                                CostHint.LEARNED,
                                0))));
        Instance self = instance(settings, "warm-start-entry", InstanceRole.PROXY, freePort());
        Instance owner = instance(settings, "warm-start-owner", InstanceRole.PROXY, ownerPort);
        fleet.install(InstanceList.of(
                1,
                List.of(owner, instance(settings, "warm-start-server", InstanceRole.BACKEND, server.getLocalPort()))));
        ProxyMetrics metrics = ProxyMetrics.create();
        PeerClientPool clientPool = PeerClientPool.create(PeerSocketFactories.plain(), ControlTrafficRecorder.noOp());
        PeerTransport transport = PeerTransport.create(self.name(), clientPool);
        KnownLeavingServers leavingServers = KnownLeavingServers.create(fleet, metrics);
        FatalRequestExchange fatalRequests = FatalRequestExchange.create(fleet, transport, metrics);
        OwnedShards shards =
                OwnedShards.create(OwnerSettings.defaults(), fleet, fatalRequests, leavingServers, metrics);
        resources.push(shards::stop);
        resources.push(PeerServer.start(LOOPBACK, ownerPort, PeerSocketFactories.plain(), ownerCalls(shards)));
        resources.push(clientPool::close);
        // The first call loads the classes of Thrift, which can take longer than an entry proxy waits for an owner.
        clientPool.call(owner, "warm-start", TIMEOUT_MILLIS, client -> client.suspects(SERVICE));
        RequestHandler handler = createHandler(settings, self, fleet, shards, fatalRequests, leavingServers, transport);
        HostAndPort callersAddress = new HostAndPort(LOOPBACK, freePort());
        CallerServer callerServer = CallerServer.create(settings.limits(), handler, metrics);
        resources.push(callerServer);
        callerServer.start(callersAddress, Optional.empty());
        caller = new Socket();
        resources.push(caller);
        caller.connect(new InetSocketAddress(callersAddress.host(), callersAddress.port()), TIMEOUT_MILLIS);
        caller.setSoTimeout(TIMEOUT_MILLIS);
        caller.setTcpNoDelay(true);
        replies = new BufferedInputStream(caller.getInputStream());
    }

    private RequestHandler createHandler(
            ProxySettings settings,
            Instance self,
            FleetState fleet,
            OwnedShards shards,
            FatalRequestExchange fatalRequests,
            KnownLeavingServers leavingServers,
            PeerTransport transport) {
        HeaderConventions conventions = DefaultHeaderConventions.instance();
        ProxyMetrics metrics = ProxyMetrics.create();
        BackendClient backendClient =
                BackendClient.create(BackendClientSettings.defaults(), conventions, ResponseMemory.ofHeap());
        resources.push(backendClient);
        AttemptExecutor executor = AttemptExecutor.create(
                self,
                fleet,
                SlotBroker.create(settings, fleet, shards, fatalRequests, transport, leavingServers, metrics),
                backendClient,
                ServerPathMonitor.create(fleet, backendClient, metrics),
                leavingServers,
                metrics,
                conventions);
        var proxyLists = ClaimTimes.newProxyListHistory();
        return RequestHandler.create(
                fleet,
                executor,
                PlannedStop.create(ResponseTimes.create(), TIMEOUT_MILLIS),
                RequestForwarder.create(self, fleet, transport, leavingServers, metrics),
                ClaimClient.create(
                        transport, ClaimKeeper.create(self, fleet, transport, proxyLists, false), proxyLists),
                metrics,
                conventions,
                false);
    }

    /**
     * Sends a request through the path and waits for the reply.
     *
     * @return whether the server's response was delivered
     * @throws IOException if there is no reply within a second
     */
    boolean send() throws IOException {
        caller.getOutputStream().write(REQUEST);
        String head = readHead(replies);
        replies.skipNBytes(Long.parseLong(headerValue(head, "Content-Length")));
        return head.startsWith("HTTP/1.1 200");
    }

    @Override
    public void close() {
        while (!resources.isEmpty()) {
            try {
                resources.pop().close();
            } catch (Exception exception) {
                BackgroundTasks.recordFailure("warm start", exception);
            }
        }
    }

    private static Peer.Iface ownerCalls(OwnedShards shards) {
        return (Peer.Iface) Proxy.newProxyInstance(
                Peer.Iface.class.getClassLoader(), new Class<?>[] {Peer.Iface.class}, (proxy, method, arguments) -> {
                    switch (method.getName()) {
                        case "acquire" -> {
                            SlotRequest request = (SlotRequest) arguments[0];
                            return PeerMessageConverter.toMessage(shards.acquire(
                                    new ShardKey(request.getServiceName(), request.getShard()),
                                    PeerMessageConverter.toAdmissionRequest(request),
                                    request.getTicket(),
                                    PeerMessageConverter.toServerRateLimits(request)));
                        }
                        case "report" -> {
                            SlotOutcome outcome = (SlotOutcome) arguments[0];
                            shards.completeLease(
                                    new ShardKey(outcome.getServiceName(), outcome.getShard()),
                                    outcome.getLease(),
                                    PeerMessageConverter.toAttemptOutcome(outcome),
                                    outcome.getLatencyMicros(),
                                    ServerNotice.none(),
                                    "",
                                    RequestDigest.none());
                            return null;
                        }
                        default -> {
                            return method.getReturnType() == List.class ? List.of() : null;
                        }
                    }
                });
    }

    private static void acceptConnections(ServerSocket server) {
        while (!server.isClosed()) {
            try {
                Socket connection = server.accept();
                Thread.ofVirtual().start(() -> serve(connection));
            } catch (SocketException exception) {
                // The path has been closed.
            } catch (IOException exception) {
                BackgroundTasks.recordFailure("warm start", exception);
            }
        }
    }

    private static void serve(Socket connection) {
        try (connection) {
            InputStream requests = new BufferedInputStream(connection.getInputStream());
            for (String head = readHead(requests); !head.isEmpty(); head = readHead(requests)) {
                String response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + BackendHeaders.REQUEST_ID + ": "
                        + headerValue(head, BackendHeaders.REQUEST_ID) + "\r\n\r\nok";
                connection.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
            }
        } catch (IOException exception) {
            // The path has been closed.
        }
    }

    /** Reads the head of a message, empty at the end of the connection. */
    private static String readHead(InputStream input) throws IOException {
        StringBuilder head = new StringBuilder();
        int matched = 0;
        while (matched < HEAD_END.length) {
            int next = input.read();
            if (next < 0) {
                return "";
            }
            head.append((char) next);
            matched = next == HEAD_END[matched] ? matched + 1 : next == HEAD_END[0] ? 1 : 0;
        }
        return head.toString();
    }

    /** Returns the value of a header, 0 if there is none. */
    private static String headerValue(String head, String name) {
        for (String line : head.split("\r\n")) {
            if (line.regionMatches(true, 0, name + ":", 0, name.length() + 1)) {
                return line.substring(name.length() + 1).strip();
            }
        }
        return "0";
    }

    private static Instance instance(ProxySettings settings, String name, InstanceRole role, int port) {
        return new Instance(
                name,
                role,
                LOOPBACK + ":" + port,
                settings.region(),
                settings.failureDomain(),
                InstanceState.LIVE,
                role == InstanceRole.BACKEND ? Map.of("service", SERVICE) : Map.of(),
                SLOTS,
                1);
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 0, InetAddress.getByName(LOOPBACK))) {
            return socket.getLocalPort();
        }
    }
}
