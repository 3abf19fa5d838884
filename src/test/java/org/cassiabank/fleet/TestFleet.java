package org.cassiabank.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.cassiabank.declaration.Declaration;
import org.cassiabank.declaration.DeclarationParser;
import org.cassiabank.kernel.CassiabankException;
import org.cassiabank.load.AdminClient;
import org.cassiabank.load.ChildProcess;
import org.cassiabank.load.FreePorts;
import org.cassiabank.membership.Instance;
import org.cassiabank.membership.InstanceListCodec;
import org.cassiabank.membership.InstanceRole;
import org.cassiabank.membership.InstanceState;
import org.cassiabank.revision.Change;
import org.cassiabank.revision.ChangeCommitter;
import org.cassiabank.revision.Edit;
import org.cassiabank.revision.PutEdit;
import org.cassiabank.store.StoreClient;

/** A platform stand-in, backend servers and proxies as processes, with a relay before the peer port of each proxy. */
final class TestFleet implements AutoCloseable {
    static final String DECLARATIONS = """
            [label.kitchen]
            instances = "kitchen-*"
            set = { service = "kitchen" }
            [service.kitchen]
            slots = 4
            floor = 2
            deadline-millis = 4000
            [selector.menu]
            service = "kitchen"
            methods = ["GET"]
            path = "/menu"
            repeatable = true
            [selector.orders]
            service = "kitchen"
            methods = ["POST"]
            path = "/orders"
            repeatable = false
            """;

    private static final List<String> JAVA_OPTIONS =
            List.of("-Xmx128m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Dio.netty.noUnsafe=true");
    private static final long START_TIMEOUT_MILLIS = 60_000;

    final List<Member> proxies = new ArrayList<>();
    final List<Member> backends = new ArrayList<>();
    final AdminClient adminClient = AdminClient.create(3_000);
    final String platformAddress = FreePorts.nextLoopbackAddress();
    private final Path directory;
    private final Set<String> leavingNames = new HashSet<>();
    private final boolean connectsThroughRelays;
    private ChildProcess platform;

    private TestFleet(Path directory, boolean connectsThroughRelays) {
        this.directory = directory;
        this.connectsThroughRelays = connectsThroughRelays;
    }

    static TestFleet start(int proxyCount, int backendCount) throws Exception {
        return start(proxyCount, backendCount, false);
    }

    /** Starts a fleet in which each proxy makes all its connections through a relay of its own. */
    static TestFleet startWithConnectionRelays(int proxyCount, int backendCount) throws Exception {
        return start(proxyCount, backendCount, true);
    }

    private static TestFleet start(int proxyCount, int backendCount, boolean connectsThroughRelays) throws Exception {
        TestFleet fleet = new TestFleet(Files.createTempDirectory("cassiabank-test"), connectsThroughRelays);
        try {
            fleet.platform = ChildProcess.start(
                    "platform",
                    "org.cassiabank.standin.PlatformMain",
                    JAVA_OPTIONS,
                    List.of("--address", fleet.platformAddress),
                    fleet.directory.resolve("platform.log"));
            for (int number = 0; number < backendCount; number++) {
                fleet.backends.add(fleet.createBackend(number));
            }
            for (int number = 0; number < proxyCount; number++) {
                fleet.proxies.add(fleet.createProxy(number));
            }
            fleet.await(
                    START_TIMEOUT_MILLIS,
                    "the platform answers",
                    () -> fleet.adminClient
                                    .send("GET", fleet.platformUrl() + "/v1/instances", "")
                                    .status()
                            == 200);
            fleet.publishInstances();
            fleet.commit("initial", DECLARATIONS);
            fleet.backends.forEach(Member::start);
            fleet.proxies.forEach(Member::start);
            fleet.clearFaultsAndAwaitHealthy();
            return fleet;
        } catch (Exception exception) {
            fleet.close();
            throw exception;
        }
    }

    String platformUrl() {
        return "http://" + platformAddress;
    }

    /** Commits declarations in TOML through the store and returns the revision of the change. */
    long commit(String operation, String toml) {
        ChangeCommitter committer = ChangeCommitter.create(StoreClient.create(URI.create(platformUrl())));
        var configuration = committer.refresh();
        List<Edit> edits = new ArrayList<>();
        for (Declaration declaration : DeclarationParser.parse(operation, toml)) {
            long readRevision = configuration
                    .find(declaration.key())
                    .map(existing -> existing.revision())
                    .orElse(0L);
            edits.add(new PutEdit(declaration, readRevision));
        }
        Change change = committer.commit(operation, edits);
        return change.revision();
    }

    void setPlatformFaults(String json) {
        requireSuccess(adminClient.send("POST", platformUrl() + "/control/faults", json));
    }

    void setBackendFaults(Member backend, String json) {
        requireSuccess(adminClient.send("POST", backend.adminUrl() + "/control/faults", json));
    }

    void setLeaving(Member member, boolean isLeaving) {
        if (isLeaving) {
            leavingNames.add(member.name());
        } else {
            leavingNames.remove(member.name());
        }
        publishInstances();
    }

    void publishInstances() {
        List<Instance> instances = Stream.concat(proxies.stream(), backends.stream())
                .map(member -> new Instance(
                        member.name(),
                        member.role(),
                        member.publishedAddress(),
                        "region-1",
                        member.failureDomain(),
                        leavingNames.contains(member.name()) ? InstanceState.LEAVING : InstanceState.LIVE,
                        Map.of(),
                        0,
                        member.incarnation))
                .toList();
        String document = new String(InstanceListCodec.toJson(instances), StandardCharsets.UTF_8);
        requireSuccess(adminClient.send("PUT", platformUrl() + "/control/instances", document));
    }

    long revisionOf(Member proxy) {
        return status(proxy).path("revision").asLong(-1);
    }

    JsonNode status(Member proxy) {
        return adminClient.getJson(proxy.adminUrl() + "/status");
    }

    /** Returns the number of started executions per key, over all backend servers and their restarts. */
    Map<String, Integer> executionsByKey() throws IOException {
        Map<String, Integer> executionsByKey = new HashMap<>();
        for (Member backend : backends) {
            Path journal = directory.resolve(backend.name() + ".journal");
            if (Files.exists(journal)) {
                Files.readAllLines(journal).forEach(key -> executionsByKey.merge(key, 1, Integer::sum));
            }
        }
        return executionsByKey;
    }

    void awaitClaimsReady(Member proxy) {
        awaitReady(proxy);
        await(
                START_TIMEOUT_MILLIS,
                proxy.name() + " can vote on claims",
                () -> status(proxy).path("claims").path("ready").asBoolean());
    }

    /** Waits until the health check of the load balancer succeeds, which requires that the proxy can claim keys. */
    void awaitHealthy(Member proxy) {
        await(
                START_TIMEOUT_MILLIS,
                proxy.name() + " is healthy",
                () -> adminClient.send("GET", proxy.adminUrl() + "/health", "").status() == 200);
    }

    /** Waits until a backend server accepts calls, and ends its faults. */
    void awaitListening(Member backend) {
        await(
                START_TIMEOUT_MILLIS,
                backend.name() + " has no faults",
                () -> adminClient
                                .send("POST", backend.adminUrl() + "/control/faults", "{}")
                                .status()
                        == 200);
    }

    /** Ends all faults, starts processes that are not running and waits until all proxies are healthy. */
    void clearFaultsAndAwaitHealthy() {
        setPlatformFaults("{}");
        leavingNames.clear();
        publishInstances();
        for (Member proxy : proxies) {
            proxy.relay().setDropToTarget(false);
            proxy.relay().setDropFromTarget(false);
            proxy.relay().blackholeOpenConnections();
            proxy.process().sendSignal("CONT");
        }
        Stream.concat(proxies.stream(), backends.stream())
                .filter(member -> !member.process().isAlive())
                .forEach(Member::start);
        backends.forEach(this::awaitListening);
        for (Member proxy : proxies) {
            awaitClaimsReady(proxy);
            awaitHealthy(proxy);
        }
    }

    void awaitReady(Member proxy) {
        await(START_TIMEOUT_MILLIS, proxy.name() + " is ready", () -> {
            if (!proxy.process().isAlive()) {
                throw new IllegalStateException(
                        proxy.name() + " ended: " + proxy.process().lastLogLines());
            }
            return adminClient.send("GET", proxy.adminUrl() + "/ready", "").status() == 200;
        });
    }

    void await(long timeoutMillis, String expectation, BooleanSupplier condition) {
        long deadlineNanos = System.nanoTime() + timeoutMillis * 1_000_000;
        while (!isSatisfied(condition)) {
            if (System.nanoTime() > deadlineNanos) {
                throw new AssertionError("not within " + timeoutMillis + " ms: " + expectation);
            }
            LockSupport.parkNanos(20_000_000);
        }
    }

    @Override
    public void close() throws IOException {
        Stream.concat(proxies.stream(), backends.stream()).forEach(Member::close);
        if (platform != null) {
            platform.close();
        }
    }

    private static boolean isSatisfied(BooleanSupplier condition) {
        try {
            return condition.getAsBoolean();
        } catch (CassiabankException exception) {
            return false;
        }
    }

    private Member createBackend(int number) {
        String name = "kitchen-" + number;
        String address = FreePorts.nextLoopbackAddress();
        List<String> arguments = List.of(
                "--address",
                address,
                "--name",
                name,
                "--slots",
                "4",
                "--seed",
                Integer.toString(number),
                "--journal",
                directory.resolve(name + ".journal").toString());
        return new Member(
                name,
                InstanceRole.BACKEND,
                "domain-" + number % 4,
                address,
                address,
                "http://" + address,
                null,
                null,
                () -> ChildProcess.start(
                        name,
                        "org.cassiabank.standin.BackendMain",
                        JAVA_OPTIONS,
                        arguments,
                        directory.resolve(name + ".log")));
    }

    private Member createProxy(int number) throws IOException {
        String name = "proxy-" + number;
        String callersAddress = FreePorts.nextLoopbackAddress();
        int peerPort = FreePorts.nextPort();
        String adminAddress = FreePorts.nextLoopbackAddress();
        TcpFaultRelay relay = TcpFaultRelay.start("127.0.0.1", peerPort);
        SocksFaultRelay connectionRelay = connectsThroughRelays ? SocksFaultRelay.start() : null;
        Stream<String> relayOptions = connectsThroughRelays ? connectionRelay.javaOptions().stream() : Stream.empty();
        List<String> javaOptions =
                Stream.concat(JAVA_OPTIONS.stream(), relayOptions).toList();
        Path settingsFile = Files.writeString(directory.resolve(name + ".toml"), """
                name = "%s"
                region = "region-1"
                failure-domain = "domain-%d"
                callers-address = "%s"
                peer-address = "127.0.0.1:%d"
                admin-address = "%s"
                store = "%s"
                drain-millis = 300
                connect-millis = 200
                """.formatted(
                        name, number % 4, callersAddress, peerPort, adminAddress, platformUrl()));
        return new Member(
                name,
                InstanceRole.PROXY,
                "domain-" + number % 4,
                callersAddress,
                relay.address(),
                "http://" + adminAddress,
                relay,
                connectionRelay,
                () -> ChildProcess.start(
                        name,
                        "org.cassiabank.proxy.ProxyMain",
                        javaOptions,
                        List.of(settingsFile.toString()),
                        directory.resolve(name + ".log")));
    }

    private static void requireSuccess(AdminClient.AdminResponse response) {
        if (response.status() / 100 != 2) {
            throw new IllegalStateException("control request failed: " + response);
        }
    }

    /** A proxy or backend server with its addresses and its current process; a backend server has no relay. */
    static final class Member {
        private final String name;
        private final InstanceRole role;
        private final String failureDomain;
        private final String address;
        private final String publishedAddress;
        private final String adminUrl;
        private final TcpFaultRelay relay;
        private final SocksFaultRelay connectionRelay;
        private final Supplier<ChildProcess> launcher;
        private volatile ChildProcess process;
        private volatile long incarnation;

        private Member(
                String name,
                InstanceRole role,
                String failureDomain,
                String address,
                String publishedAddress,
                String adminUrl,
                TcpFaultRelay relay,
                SocksFaultRelay connectionRelay,
                Supplier<ChildProcess> launcher) {
            this.name = name;
            this.role = role;
            this.failureDomain = failureDomain;
            this.address = address;
            this.publishedAddress = publishedAddress;
            this.adminUrl = adminUrl;
            this.relay = relay;
            this.connectionRelay = connectionRelay;
            this.launcher = launcher;
        }

        String name() {
            return name;
        }

        InstanceRole role() {
            return role;
        }

        String failureDomain() {
            return failureDomain;
        }

        String address() {
            return address;
        }

        String publishedAddress() {
            return publishedAddress;
        }

        String adminUrl() {
            return adminUrl;
        }

        TcpFaultRelay relay() {
            return relay;
        }

        /** Returns the relay of all connections that the proxy makes, null in a fleet without such relays. */
        SocksFaultRelay connectionRelay() {
            return connectionRelay;
        }

        ChildProcess process() {
            return process;
        }

        /** Starts the process; the next published list shows a backend server as a new incarnation. */
        void start() {
            incarnation += role == InstanceRole.BACKEND ? 1 : 0;
            process = launcher.get();
        }

        void kill() {
            process.close();
        }

        private void close() {
            if (process != null) {
                process.close();
            }
            if (relay != null) {
                try {
                    relay.close();
                    if (connectionRelay != null) {
                        connectionRelay.close();
                    }
                } catch (IOException ignored) {
                    // Closing a socket that is already closed is harmless.
                }
            }
        }
    }
}
