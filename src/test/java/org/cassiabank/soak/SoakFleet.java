package org.cassiabank.soak;

import java.io.IOException;
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
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.cassiabank.fleet.TcpFaultRelay;
import org.cassiabank.load.ChildProcess;
import org.cassiabank.load.FreePorts;
import org.cassiabank.platform.StoreStandIn;
import org.cassiabank.proxy.HostAndPort;

/** Daemons as processes with the settings that the platform would give them, a store and backend servers. */
final class SoakFleet implements AutoCloseable {
    static final int DAEMONS = 6;
    private static final int DOMAINS = 3;
    private static final int SERVERS = 4;
    /** The options before the one for the class archive, which the tests do not build. */
    private static final Pattern JAVA_OPTIONS = Pattern.compile("bin/java (.+) -XX:SharedArchiveFile");

    private static final long START_MILLIS = 60_000;
    private static final Duration CHECK_TIMEOUT = Duration.ofMillis(800);

    final StoreStandIn store = StoreStandIn.start();
    final List<Daemon> daemons = new ArrayList<>();
    final Map<String, SoakServer> servers = new ConcurrentHashMap<>();
    final List<TcpFaultRelay> serverRelays = new ArrayList<>();
    private final List<Span> storeDisturbances = new CopyOnWriteArrayList<>();
    private final Map<Integer, Long> versions = new ConcurrentHashMap<>();
    private final HttpClient checks =
            HttpClient.newBuilder().connectTimeout(CHECK_TIMEOUT).build();
    private final Ledger ledger;
    private final Path directory;
    private final Random random;
    private final List<String> javaOptions;
    private volatile int version;
    private volatile boolean closed;
    private int nextServer;

    private SoakFleet(Ledger ledger, Path directory, long seed) throws IOException {
        this.ledger = ledger;
        this.directory = directory;
        this.random = new Random(seed);
        this.javaOptions = deployedJavaOptions();
    }

    static SoakFleet start(Ledger ledger, Path directory, long seed) throws IOException, InterruptedException {
        SoakFleet fleet = new SoakFleet(ledger, directory, seed);
        fleet.changeConfiguration();
        for (int number = 0; number < SERVERS; number++) {
            fleet.addServer("alpha", FreePorts.nextPort());
            fleet.addServer("beta", FreePorts.nextPort());
        }
        for (int number = 0; number < DAEMONS; number++) {
            fleet.daemons.add(fleet.newDaemon(number));
        }
        for (Daemon daemon : fleet.daemons) {
            fleet.launch(daemon);
        }
        Thread.ofVirtual().start(fleet::checkReadiness);
        long deadline = Ledger.now() + START_MILLIS;
        while (!fleet.daemons.stream().allMatch(daemon -> daemon.ready)) {
            if (Ledger.now() > deadline) {
                throw new IOException("the daemons are not ready; see " + directory);
            }
            TimeUnit.MILLISECONDS.sleep(100);
        }
        return fleet;
    }

    boolean isClosed() {
        return closed;
    }

    Path directory() {
        return directory;
    }

    /** Chooses among the daemons that the load balancer would use. */
    int pickDaemon(Random choice) {
        List<Daemon> ready = daemons.stream().filter(daemon -> daemon.ready).toList();
        List<Daemon> candidates = 2 * ready.size() >= DAEMONS ? ready : daemons;
        return candidates.get(choice.nextInt(candidates.size())).number;
    }

    InetSocketAddress front(int daemon) {
        HostAndPort address = HostAndPort.parse(daemons.get(daemon).front.address());
        return new InetSocketAddress(address.host(), address.port());
    }

    int startCount(int daemon) {
        return daemons.get(daemon).starts;
    }

    int pickVersion(Random choice) {
        return Math.max(1, version - choice.nextInt(3));
    }

    long acknowledgedAt(int number) {
        return versions.get(number);
    }

    /** Lets callers end after their present requests. */
    void stopCallers() {
        closed = true;
    }

    /** Adds a route to the configuration; routes of former versions stay. */
    synchronized void changeConfiguration() {
        int next = version + 1;
        StringBuilder items = new StringBuilder();
        items.append(route("orders", "/order/", "non_idempotent", 1, "beta")).append(',');
        items.append(route("reads", "/read/", "idempotent", 2, "alpha"));
        for (int number = 1; number <= next; number++) {
            items.append(',').append(route("v" + number, "/v" + number + "/", "idempotent", 2, "alpha"));
        }
        for (String service : List.of("alpha", "beta")) {
            items.append(",{\"resource_type\":\"services\",\"metadata\":{\"name\":\"" + service + "\"},\"spec\":{}}");
        }
        store.write("op/config", "{\"version\":\"" + String.format("%08x", next) + "\",\"resources\":[" + items + "]}");
        versions.put(next, Ledger.now());
        version = next;
    }

    synchronized SoakServer addServer(String service, int port) throws IOException {
        SoakServer server = SoakServer.start("i-" + nextServer++, service, port, ledger, random.nextLong());
        servers.put(server.name(), server);
        report(server, "ready");
        return server;
    }

    /** Starts a server again under its name. */
    synchronized void restartServer(SoakServer former) throws IOException {
        SoakServer server = SoakServer.start(former.name(), former.service(), former.port(), ledger, random.nextLong());
        servers.put(server.name(), server);
        report(server, "ready");
    }

    void report(SoakServer server, String state) {
        store.write(
                "servers/" + server.name(),
                "{\"address\":\"127.0.0.1:" + server.port() + "\",\"born\":" + server.born()
                        + ",\"info\":{\"service\":\"" + server.service() + "\",\"version\":\"v1\",\"zone\":\"d"
                        + server.port() % DOMAINS + "\",\"slots\":" + SoakServer.SLOTS + "},\"status\":{\"state\":\""
                        + state + "\",\"sequence\":1,\"warmup_left\":\"0ms\"}}");
    }

    synchronized void launch(Daemon daemon) {
        daemon.starts++;
        daemon.launchedAt = Ledger.now();
        daemon.process = ChildProcess.start(
                daemon.name,
                "org.cassiabank.proxy.ProxyMain",
                javaOptions,
                List.of(daemon.settings.toString()),
                directory.resolve(daemon.name + ".log"));
    }

    /** Notes a time in which promises with a time bound do not hold for any daemon. */
    void disturbStore(long fromMillis, long untilMillis) {
        storeDisturbances.add(new Span(fromMillis, untilMillis));
    }

    /** Tells whether nothing but changes that were announced concerned a daemon in a time and 3 s before it. */
    boolean isInTouch(int daemon, long fromMillis, long untilMillis) {
        return !isDisturbed(daemons.get(daemon).disturbances, fromMillis, untilMillis)
                && !isDisturbed(storeDisturbances, fromMillis, untilMillis);
    }

    private static boolean isDisturbed(List<Span> spans, long fromMillis, long untilMillis) {
        return spans.stream().anyMatch(span -> span.from <= untilMillis && span.until >= fromMillis - 3_000);
    }

    @Override
    public void close() throws IOException {
        closed = true;
        for (Daemon daemon : daemons) {
            daemon.process.close();
            daemon.front.close();
            daemon.storeRelay.close();
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

    private Daemon newDaemon(int number) throws IOException {
        String callers = FreePorts.nextLoopbackAddress();
        String peers = FreePorts.nextLoopbackAddress();
        String admin = FreePorts.nextLoopbackAddress();
        URI address = store.address();
        TcpFaultRelay storeRelay = TcpFaultRelay.start(address.getHost(), address.getPort());
        TcpFaultRelay front =
                TcpFaultRelay.start("127.0.0.1", HostAndPort.parse(callers).port());
        String name = "proxy-" + number;
        String settings = Files.readString(Path.of("deploy", "proxy.toml.template"))
                .replace("{{node_name|json}}", '"' + name + '"')
                .replace("{{region|json}}", "\"here\"")
                .replace("{{zone|json}}", "\"d" + number % DOMAINS + '"')
                .replace("{{listen.front|json}}", '"' + callers + '"')
                .replace("{{ip}}:{{internal_port_range.0}}", peers)
                .replace("{{listen.ready|json}}", '"' + admin + '"')
                .replace("{{platform.address}}", storeRelay.address())
                .replace("{{platform.form|json}}", "\"kv\"")
                .replace(
                        "{{#bounds}}{{@}}={{.}}{{,}}{{/bounds}}",
                        "retry_budget_ratio=" + SoakChecks.RETRY_RATIO + ",budget_slack=" + SoakChecks.RETRY_SLACK
                                + ",budget_window=10s");
        Path file = directory.resolve(name + ".toml");
        Files.writeString(file, settings);
        return new Daemon(number, name, file, admin, front, storeRelay);
    }

    private void checkReadiness() {
        while (!closed) {
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

    /** Takes a daemon out after two misses, as the platform's load balancer does. */
    private void checkReadiness(Daemon daemon) {
        boolean good;
        try {
            HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + daemon.admin + "/api/ready"))
                    .timeout(CHECK_TIMEOUT)
                    .build();
            good = checks.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() == 200;
        } catch (IOException exception) {
            good = false;
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            return;
        }
        daemon.misses = good ? 0 : daemon.misses + 1;
        daemon.ready = good || daemon.ready && daemon.misses < 2;
    }

    private static String route(String name, String prefix, String kind, int priority, String service) {
        return "{\"resource_type\":\"routes\",\"metadata\":{\"name\":\"" + name
                + "\"},\"spec\":{\"host\":\"shop.example\",\"prefix\":\"" + prefix + "\",\"kind\":\"" + kind
                + "\",\"timeout\":\"" + SoakCaller.TIMEOUT_MILLIS + "ms\",\"target_latency\":\"600ms\",\"priority\":"
                + priority + ",\"service\":\"" + service + "\",\"max_attempts\":" + SoakChecks.MOST_ATTEMPTS + "}}";
    }

    /** A daemon and its links. */
    static final class Daemon {
        final int number;
        final String name;
        final Path settings;
        final String admin;
        final TcpFaultRelay front;
        final TcpFaultRelay storeRelay;
        final List<Span> disturbances = new CopyOnWriteArrayList<>();
        final List<Span> terminations = new CopyOnWriteArrayList<>();
        volatile ChildProcess process;
        volatile int starts;
        volatile long launchedAt;
        volatile boolean ready;
        volatile boolean busy;
        private volatile int misses;

        private Daemon(
                int number, String name, Path settings, String admin, TcpFaultRelay front, TcpFaultRelay storeRelay) {
            this.number = number;
            this.name = name;
            this.settings = settings;
            this.admin = admin;
            this.front = front;
            this.storeRelay = storeRelay;
        }
    }

    /** A time span in milliseconds. */
    record Span(long from, long until) {}
}
