package org.cassiabank.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.cassiabank.fleet.SocksFaultRelay;
import org.cassiabank.fleet.TcpFaultRelay;
import org.cassiabank.load.ChildProcess;
import org.cassiabank.load.FreePorts;
import org.cassiabank.platform.StoreStandIn;
import org.cassiabank.proxy.HostAndPort;

/** Daemons as processes with the settings that the platform deploys, a stand-in for the store, and backend servers. */
final class SoakFleet implements AutoCloseable {
    private static final int DAEMON_COUNT = 6;
    private static final String SERVERS_PREFIX = "servers/";
    private static final long CRASH_MILLIS = 1_500;
    private static final int SERVERS_PER_SERVICE = 4;
    /** Matches the options before the one for the class archive, which the tests do not build. */
    private static final Pattern JAVA_OPTIONS = Pattern.compile("bin/java (.+) -XX:SharedArchiveFile");

    private static final long START_TIMEOUT_MILLIS = 60_000;
    private static final Duration READINESS_TIMEOUT = Duration.ofMillis(800);

    final StoreStandIn store = StoreStandIn.start();
    final List<Daemon> daemons = new ArrayList<>();
    final Map<String, SoakServer> servers = new ConcurrentHashMap<>();
    final List<TcpFaultRelay> serverRelays = new ArrayList<>();
    private final List<Span> storeDisturbances = new CopyOnWriteArrayList<>();
    private final List<ServerCut> serverCuts = new CopyOnWriteArrayList<>();
    private final List<RateLimitSpan> rateLimitSpans = new CopyOnWriteArrayList<>();
    private final Map<Integer, Long> acknowledgedMillisByVersion = new ConcurrentHashMap<>();
    private final Map<String, PublishedServer> publishedServers = new ConcurrentHashMap<>();
    private final HttpClient readinessClient =
            HttpClient.newBuilder().connectTimeout(READINESS_TIMEOUT).build();
    private final RequestHistory history;
    private final Path directory;
    private final Random random;
    private final List<String> javaOptions;
    private final SoakLayout layout;
    private volatile int lastVersion;
    private String lastConfiguration;
    private volatile boolean stopping;
    private int nextServerNumber;

    private SoakFleet(RequestHistory history, Path directory, long seed, SoakLayout layout) throws IOException {
        this.history = history;
        this.directory = directory;
        this.random = new Random(seed);
        this.javaOptions = deployedJavaOptions();
        this.layout = layout;
    }

    static SoakFleet start(RequestHistory history, Path directory, long seed) throws IOException, InterruptedException {
        return start(history, directory, seed, new SoakLayout(DAEMON_COUNT, number -> true, List.of()));
    }

    static SoakFleet start(RequestHistory history, Path directory, long seed, SoakLayout layout)
            throws IOException, InterruptedException {
        SoakFleet fleet = new SoakFleet(history, directory, seed, layout);
        fleet.changeConfiguration();
        layout.extraServices().forEach(fleet::publishServers);
        for (int number = 0; number < SERVERS_PER_SERVICE; number++) {
            fleet.addServer("alpha", FreePorts.nextPort());
            fleet.addServer("beta", FreePorts.nextPort());
        }
        for (int number = 0; number < layout.daemonCount(); number++) {
            fleet.daemons.add(fleet.createDaemon(number));
        }
        for (Daemon daemon : fleet.daemons) {
            fleet.launch(daemon);
        }
        Thread.ofVirtual().start(fleet::checkReadiness);
        long deadlineMillis = RequestHistory.nowMillis() + START_TIMEOUT_MILLIS;
        while (!fleet.daemons.stream().allMatch(daemon -> daemon.ready)) {
            if (RequestHistory.nowMillis() > deadlineMillis) {
                throw new IOException("the daemons are not ready; see " + directory);
            }
            TimeUnit.MILLISECONDS.sleep(100);
        }
        return fleet;
    }

    boolean isStopping() {
        return stopping;
    }

    Path directory() {
        return directory;
    }

    /** Chooses a daemon as the load balancer would: among the ready ones, or among all if less than half are ready. */
    int chooseDaemon(Random callerRandom) {
        List<Daemon> ready = daemons.stream().filter(daemon -> daemon.ready).toList();
        List<Daemon> candidates = 2 * ready.size() >= layout.daemonCount() ? ready : daemons;
        return candidates.get(callerRandom.nextInt(candidates.size())).number;
    }

    InetSocketAddress frontAddress(int daemonNumber) {
        HostAndPort address = HostAndPort.parse(daemons.get(daemonNumber).front.address());
        return new InetSocketAddress(address.host(), address.port());
    }

    int startCount(int daemonNumber) {
        return daemons.get(daemonNumber).startCount;
    }

    int chooseVersion(Random callerRandom) {
        return Math.max(1, lastVersion - callerRandom.nextInt(3));
    }

    long acknowledgedAtMillis(int version) {
        return acknowledgedMillisByVersion.get(version);
    }

    /** Tells callers to stop after their current requests. */
    void stopCallers() {
        stopping = true;
    }

    /** Writes a new configuration version with one more route; routes of former versions stay. */
    synchronized void changeConfiguration() {
        int newVersion = lastVersion + 1;
        lastConfiguration = PlatformEntries.configuration(newVersion, layout.extraServices());
        store.write("op/config", lastConfiguration);
        acknowledgedMillisByVersion.put(newVersion, RequestHistory.nowMillis());
        lastVersion = newVersion;
    }

    /** Brings the store back from a copy; the operators write again what it has lost. */
    synchronized void restoreStore(StoreStandIn.Copy copy) {
        store.restore(copy);
        store.write("op/config", lastConfiguration);
    }

    /** Writes the entries of all servers again, as each of them does with its next report. */
    synchronized void publishServersAgain() {
        publishedServers.values().forEach(published -> publishServer(published.server(), published.state()));
    }

    /** Removes the entries of servers that are gone, as they expire without reports. */
    synchronized void expireFormerServers() {
        store.keysWithPrefix(SERVERS_PREFIX).stream()
                .filter(key -> !publishedServers.containsKey(key.substring(SERVERS_PREFIX.length())))
                .forEach(store::remove);
    }

    synchronized SoakServer addServer(String service, int port) throws IOException {
        SoakServer server =
                SoakServer.start("i-" + nextServerNumber++, service, port, history, random.nextLong(), this::crash);
        servers.put(server.name(), server);
        publishServer(server, "ready");
        return server;
    }

    /** Starts a server again with the name, service and port of the former one. */
    synchronized void restartServer(SoakServer former) throws IOException {
        SoakServer server = SoakServer.start(
                former.name(), former.service(), former.port(), history, random.nextLong(), this::crash);
        servers.put(server.name(), server);
        publishServer(server, "ready");
    }

    /** Ends a server and starts it again after some time, unless another fault has ended it. */
    private void crash(SoakServer server) {
        if (!servers.remove(server.name(), server)) {
            return;
        }
        server.close();
        Thread.ofVirtual().start(() -> {
            try {
                TimeUnit.MILLISECONDS.sleep(CRASH_MILLIS);
                if (!stopping) {
                    restartServer(server);
                }
            } catch (IOException exception) {
                throw new UncheckedIOException(exception);
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
            }
        });
    }

    synchronized void withdrawServer(SoakServer server) {
        publishedServers.remove(server.name());
        store.remove(SERVERS_PREFIX + server.name());
    }

    synchronized void publishServer(SoakServer server, String state) {
        publishedServers.put(server.name(), new PublishedServer(server, state));
        writeEntry(server.name(), server.service(), server.port(), server.bornMillis(), SoakServer.SLOTS, state);
    }

    private void publishServers(ExtraService service) {
        for (int index = 0; index < service.ports().size(); index++) {
            writeEntry(
                    service.name() + "-" + index,
                    service.name(),
                    service.ports().get(index),
                    System.currentTimeMillis(),
                    service.slots(),
                    "ready");
        }
    }

    private void writeEntry(String name, String service, int port, long bornMillis, int slots, String state) {
        store.write(SERVERS_PREFIX + name, PlatformEntries.server(service, port, bornMillis, slots, state));
    }

    synchronized void launch(Daemon daemon) {
        daemon.startCount++;
        daemon.launchedAtMillis = RequestHistory.nowMillis();
        List<String> relayOptions =
                layout.relayed().test(daemon.number) ? daemon.connectionRelay.javaOptions() : List.of();
        daemon.process = ChildProcess.start(
                daemon.name,
                "org.cassiabank.proxy.ProxyMain",
                Stream.concat(javaOptions.stream(), relayOptions.stream()).toList(),
                List.of(daemon.settingsFile.toString()),
                directory.resolve(daemon.name + ".log"));
    }

    /** Records a time in which guarantees with a time bound do not apply to any daemon. */
    void recordStoreDisturbance(long fromMillis, long untilMillis) {
        storeDisturbances.add(new Span(fromMillis, untilMillis));
    }

    /** Tells whether a port belongs to a daemon or the store, rather than to a server. */
    boolean isPeerOrStorePort(int port) {
        return daemons.stream().anyMatch(daemon -> daemon.peerPort == port || daemon.storePort() == port);
    }

    /** Records that some daemons reached no server during a time. */
    void recordServerCut(ServerCut cut) {
        serverCuts.add(cut);
    }

    List<ServerCut> serverCuts() {
        return serverCuts;
    }

    /** Returns whether no fault at all affected a daemon itself in a time span and the 3 s before it. */
    boolean isDaemonUndisturbed(int daemonNumber, long fromMillis, long untilMillis) {
        Daemon daemon = daemons.get(daemonNumber);
        return !overlapsAny(daemon.disturbances, fromMillis, untilMillis)
                && !overlapsAny(daemon.terminations, fromMillis, untilMillis);
    }

    /** Returns whether a daemon was not paused in a time span. */
    boolean isNotPaused(int daemonNumber, long fromMillis, long untilMillis) {
        return daemons.get(daemonNumber).pauses.stream()
                .noneMatch(span -> span.fromMillis <= untilMillis && span.untilMillis >= fromMillis);
    }

    /** Records that a server names a limit in its responses during a time. */
    void recordRateLimit(RateLimitSpan span) {
        rateLimitSpans.add(span);
    }

    List<RateLimitSpan> rateLimitSpans() {
        return rateLimitSpans;
    }

    /** Returns whether only announced changes affected a daemon or the store in a time span and the 3 s before it. */
    boolean isUndisturbed(int daemonNumber, long fromMillis, long untilMillis) {
        return !overlapsAny(daemons.get(daemonNumber).disturbances, fromMillis, untilMillis)
                && !overlapsAny(storeDisturbances, fromMillis, untilMillis);
    }

    private static boolean overlapsAny(List<Span> spans, long fromMillis, long untilMillis) {
        return spans.stream()
                .anyMatch(span -> span.fromMillis <= untilMillis && span.untilMillis >= fromMillis - 3_000);
    }

    @Override
    public void close() throws IOException {
        stopping = true;
        for (Daemon daemon : daemons) {
            daemon.process.close();
            daemon.front.close();
            daemon.storeRelay.close();
            daemon.connectionRelay.close();
        }
        servers.values().forEach(SoakServer::close);
        store.close();
    }

    private static List<String> deployedJavaOptions() throws IOException {
        Matcher matcher = JAVA_OPTIONS.matcher(Files.readString(Path.of("deploy", "system.toml")));
        if (!matcher.find()) {
            throw new IOException("deploy/system.toml has no options for Java");
        }
        return List.of(matcher.group(1).split(" "));
    }

    private Daemon createDaemon(int number) throws IOException {
        String callersAddress = FreePorts.nextLoopbackAddress();
        String peerAddress = FreePorts.nextLoopbackAddress();
        String adminAddress = FreePorts.nextLoopbackAddress();
        URI storeAddress = store.address();
        TcpFaultRelay storeRelay = TcpFaultRelay.start(storeAddress.getHost(), storeAddress.getPort());
        TcpFaultRelay front = TcpFaultRelay.start(
                "127.0.0.1", HostAndPort.parse(callersAddress).port());
        String name = "proxy-" + number;
        String settings = Files.readString(Path.of("deploy", "proxy.toml.template"))
                .replace("{{node_name|json}}", '"' + name + '"')
                .replace("{{region|json}}", "\"here\"")
                .replace("{{zone|json}}", "\"d" + number % PlatformEntries.FAILURE_DOMAIN_COUNT + '"')
                .replace("{{listen.front|json}}", '"' + callersAddress + '"')
                .replace("{{ip}}:{{internal_port_range.0}}", peerAddress)
                .replace("{{listen.ready|json}}", '"' + adminAddress + '"')
                .replace("{{platform.address}}", storeRelay.address())
                .replace("{{platform.form|json}}", "\"kv\"")
                .replace(
                        "{{#bounds}}{{@}}={{.}}{{,}}{{/bounds}}",
                        "retry_budget_ratio=" + GuaranteeChecks.RETRY_BUDGET_RATIO + ",budget_slack="
                                + GuaranteeChecks.RETRY_BUDGET_SLACK + ",budget_window=10s");
        Path settingsFile = directory.resolve(name + ".toml");
        Files.writeString(settingsFile, settings);
        return new Daemon(
                number,
                name,
                settingsFile,
                adminAddress,
                HostAndPort.parse(peerAddress).port(),
                front,
                storeRelay,
                SocksFaultRelay.start());
    }

    private void checkReadiness() {
        while (!stopping) {
            for (Daemon daemon : daemons) {
                Thread.ofVirtual().start(() -> checkReadiness(daemon));
            }
            try {
                TimeUnit.SECONDS.sleep(1);
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    /** Excludes a daemon after two failed checks, as the load balancer of the platform does. */
    private void checkReadiness(Daemon daemon) {
        boolean isReady;
        try {
            HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + daemon.adminAddress + "/api/ready"))
                    .timeout(READINESS_TIMEOUT)
                    .build();
            isReady = readinessClient
                            .send(request, HttpResponse.BodyHandlers.discarding())
                            .statusCode()
                    == 200;
        } catch (IOException exception) {
            isReady = false;
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            return;
        }
        daemon.failedChecks = isReady ? 0 : daemon.failedChecks + 1;
        daemon.ready = isReady || daemon.ready && daemon.failedChecks < 2;
    }

    /** A daemon with the relays of its callers' connections and of its store connections. */
    static final class Daemon {
        final int number;
        final String name;
        final Path settingsFile;
        final String adminAddress;
        final TcpFaultRelay front;
        final TcpFaultRelay storeRelay;
        /** Carries all connections that the daemon makes. */
        final SocksFaultRelay connectionRelay;

        final int peerPort;
        final List<Span> disturbances = new CopyOnWriteArrayList<>();
        /** The times in which the process was stopped by a signal. */
        final List<Span> pauses = new CopyOnWriteArrayList<>();

        final List<Span> terminations = new CopyOnWriteArrayList<>();
        volatile ChildProcess process;
        volatile int startCount;
        volatile long launchedAtMillis;
        volatile boolean ready;
        volatile boolean isBeingDisturbed;
        private volatile int failedChecks;

        private Daemon(
                int number,
                String name,
                Path settingsFile,
                String adminAddress,
                int peerPort,
                TcpFaultRelay front,
                TcpFaultRelay storeRelay,
                SocksFaultRelay connectionRelay) {
            this.number = number;
            this.name = name;
            this.settingsFile = settingsFile;
            this.adminAddress = adminAddress;
            this.front = front;
            this.storeRelay = storeRelay;
            this.peerPort = peerPort;
            this.connectionRelay = connectionRelay;
        }

        private int storePort() {
            return HostAndPort.parse(storeRelay.address()).port();
        }
    }

    /** The time in which some daemons reached no server. */
    record ServerCut(Set<Integer> daemonNumbers, Span span) {}

    /** A server with the state that it reported last. */
    private record PublishedServer(SoakServer server, String state) {}

    /** The time in which a server names a limit of requests a second. */
    record RateLimitSpan(String server, double requestsPerSecond, Span span) {}

    /** A time span by {@link RequestHistory#nowMillis()}, both ends included. */
    record Span(long fromMillis, long untilMillis) {}
}
