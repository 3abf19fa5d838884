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

/** A platform stand-in, backend servers and proxies as processes, with a relay before each proxy's peer port. */
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

    private static final List<String> OPTIONS =
            List.of("-Xmx128m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Dio.netty.noUnsafe=true");
    private static final long START_MILLIS = 60_000;

    final List<Member> proxies = new ArrayList<>();
    final List<Member> backends = new ArrayList<>();
    final AdminClient adminClient = AdminClient.create(3_000);
    final String platformAddress = FreePorts.nextLoopbackAddress();
    private final Path directory;
    private final Set<String> leaving = new HashSet<>();
    private ChildProcess platform;

    private TestFleet(Path directory) {
        this.directory = directory;
    }

    static TestFleet start(int proxyCount, int backendCount) throws Exception {
        TestFleet fleet = new TestFleet(Files.createTempDirectory("cassiabank-test"));
        try {
            fleet.platform = ChildProcess.start(
                    "platform",
                    "org.cassiabank.standin.PlatformMain",
                    OPTIONS,
                    List.of("--address", fleet.platformAddress),
                    fleet.directory.resolve("platform.log"));
            for (int number = 0; number < backendCount; number++) {
                fleet.backends.add(fleet.backend(number));
            }
            for (int number = 0; number < proxyCount; number++) {
                fleet.proxies.add(fleet.proxy(number));
            }
            fleet.await(
                    START_MILLIS,
                    "the platform answers",
                    () -> fleet.adminClient
                                    .send("GET", fleet.platformUrl() + "/v1/instances", "")
                                    .status()
                            == 200);
            fleet.publishInstances();
            fleet.commit("initial", DECLARATIONS);
            fleet.backends.forEach(Member::start);
            fleet.proxies.forEach(Member::start);
            fleet.heal();
            return fleet;
        } catch (Exception exception) {
            fleet.close();
            throw exception;
        }
    }

    String platformUrl() {
        return "http://" + platformAddress;
    }

    /** Commits declarations through the store and returns the revision. */
    long commit(String operation, String toml) {
        ChangeCommitter committer = ChangeCommitter.create(StoreClient.create(URI.create(platformUrl())));
        var configuration = committer.refresh();
        List<Edit> edits = new ArrayList<>();
        for (Declaration declaration : DeclarationParser.parse(operation, toml)) {
            long read = configuration
                    .find(declaration.key())
                    .map(known -> known.revision())
                    .orElse(0L);
            edits.add(new PutEdit(declaration, read));
        }
        Change change = committer.commit(operation, edits);
        return change.revision();
    }

    void platformFaults(String json) {
        requireSuccess(adminClient.send("POST", platformUrl() + "/control/faults", json));
    }

    void backendFaults(Member backend, String json) {
        requireSuccess(adminClient.send("POST", backend.control() + "/control/faults", json));
    }

    void markLeaving(Member member, boolean isLeaving) {
        if (isLeaving) {
            leaving.add(member.name());
        } else {
            leaving.remove(member.name());
        }
        publishInstances();
    }

    void publishInstances() {
        List<Instance> instances = Stream.concat(proxies.stream(), backends.stream())
                .map(member -> Instance.of(
                        member.name(),
                        member.role(),
                        member.listAddress(),
                        "region-1",
                        member.domain(),
                        leaving.contains(member.name()) ? InstanceState.LEAVING : InstanceState.LIVE))
                .toList();
        String document = new String(InstanceListCodec.toJson(instances), StandardCharsets.UTF_8);
        requireSuccess(adminClient.send("PUT", platformUrl() + "/control/instances", document));
    }

    long revisionOf(Member proxy) {
        return status(proxy).path("revision").asLong(-1);
    }

    JsonNode status(Member proxy) {
        return adminClient.getJson(proxy.control() + "/status");
    }

    /** How often each key was started, over all backend servers and their restarts. */
    Map<String, Integer> executions() throws IOException {
        Map<String, Integer> executions = new HashMap<>();
        for (Member backend : backends) {
            Path journal = directory.resolve(backend.name() + ".journal");
            if (Files.exists(journal)) {
                Files.readAllLines(journal).forEach(key -> executions.merge(key, 1, Integer::sum));
            }
        }
        return executions;
    }

    void awaitReady(Member proxy) {
        awaitServing(proxy);
        await(
                START_MILLIS,
                proxy.name() + " votes on claims",
                () -> status(proxy).path("claims").path("ready").asBoolean());
    }

    /** Waits until the load balancer's check of an entry proxy succeeds, which includes that it can claim keys. */
    void awaitHealthy(Member proxy) {
        await(
                START_MILLIS,
                proxy.name() + " is healthy",
                () -> adminClient.send("GET", proxy.control() + "/health", "").status() == 200);
    }

    /** Ends all faults, starts what is not running and waits until everything serves. */
    void heal() {
        platformFaults("{}");
        leaving.clear();
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
        for (Member backend : backends) {
            await(
                    START_MILLIS,
                    backend.name() + " has no faults",
                    () -> adminClient
                                    .send("POST", backend.control() + "/control/faults", "{}")
                                    .status()
                            == 200);
        }
        for (Member proxy : proxies) {
            awaitReady(proxy);
            awaitHealthy(proxy);
        }
    }

    void awaitServing(Member proxy) {
        await(START_MILLIS, proxy.name() + " is ready", () -> {
            if (!proxy.process().isAlive()) {
                throw new IllegalStateException(
                        proxy.name() + " ended: " + proxy.process().lastLogLines());
            }
            return adminClient.send("GET", proxy.control() + "/ready", "").status() == 200;
        });
    }

    void await(long millis, String what, BooleanSupplier condition) {
        long end = System.nanoTime() + millis * 1_000_000;
        while (!holds(condition)) {
            if (System.nanoTime() > end) {
                throw new AssertionError("not within " + millis + " ms: " + what);
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

    private static boolean holds(BooleanSupplier condition) {
        try {
            return condition.getAsBoolean();
        } catch (CassiabankException exception) {
            return false;
        }
    }

    private Member backend(int number) {
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
                () -> ChildProcess.start(
                        name,
                        "org.cassiabank.standin.BackendMain",
                        OPTIONS,
                        arguments,
                        directory.resolve(name + ".log")));
    }

    private Member proxy(int number) throws IOException {
        String name = "proxy-" + number;
        String callers = FreePorts.nextLoopbackAddress();
        int peerPort = FreePorts.nextPort();
        String admin = FreePorts.nextLoopbackAddress();
        TcpFaultRelay relay = TcpFaultRelay.start("127.0.0.1", peerPort);
        Path file = Files.writeString(directory.resolve(name + ".toml"), """
                name = "%s"
                region = "region-1"
                failure-domain = "domain-%d"
                callers-address = "%s"
                peer-address = "127.0.0.1:%d"
                admin-address = "%s"
                store = "%s"
                drain-millis = 300
                """.formatted(
                        name, number % 4, callers, peerPort, admin, platformUrl()));
        return new Member(
                name,
                InstanceRole.PROXY,
                "domain-" + number % 4,
                callers,
                relay.address(),
                "http://" + admin,
                relay,
                () -> ChildProcess.start(
                        name,
                        "org.cassiabank.proxy.ProxyMain",
                        OPTIONS,
                        List.of(file.toString()),
                        directory.resolve(name + ".log")));
    }

    private static void requireSuccess(AdminClient.AdminResponse response) {
        if (response.status() / 100 != 2) {
            throw new IllegalStateException("control request failed: " + response);
        }
    }

    /** A process of the fleet. */
    static final class Member {
        private final String name;
        private final InstanceRole role;
        private final String domain;
        private final String address;
        private final String listAddress;
        private final String control;
        private final TcpFaultRelay relay;
        private final Supplier<ChildProcess> starter;
        private volatile ChildProcess process;

        private Member(
                String name,
                InstanceRole role,
                String domain,
                String address,
                String listAddress,
                String control,
                TcpFaultRelay relay,
                Supplier<ChildProcess> starter) {
            this.name = name;
            this.role = role;
            this.domain = domain;
            this.address = address;
            this.listAddress = listAddress;
            this.control = control;
            this.relay = relay;
            this.starter = starter;
        }

        String name() {
            return name;
        }

        InstanceRole role() {
            return role;
        }

        String domain() {
            return domain;
        }

        String address() {
            return address;
        }

        String listAddress() {
            return listAddress;
        }

        String control() {
            return control;
        }

        TcpFaultRelay relay() {
            return relay;
        }

        ChildProcess process() {
            return process;
        }

        void start() {
            process = starter.get();
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
                } catch (IOException ignored) {
                    // Closing a socket that is already closed is harmless.
                }
            }
        }
    }
}
