package org.cassiabank.load;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import org.cassiabank.declaration.Configuration;
import org.cassiabank.declaration.Declaration;
import org.cassiabank.declaration.DeclarationParser;
import org.cassiabank.declaration.VersionedDeclaration;
import org.cassiabank.kernel.CassiabankException;
import org.cassiabank.kernel.ErrorCode;
import org.cassiabank.membership.InstanceListCodec;
import org.cassiabank.revision.ChangeCommitter;
import org.cassiabank.revision.Edit;
import org.cassiabank.revision.PutEdit;
import org.cassiabank.store.StoreClient;

/**
 * A test fleet: a platform stand-in, backend servers and proxies that run as child processes on loopback addresses.
 * Settings, logs and journals are files of one temporary directory. Closing the fleet terminates exactly the processes
 * that it started.
 */
public final class Fleet implements AutoCloseable {
    private static final String REGION = "region-1";
    private static final int FAILURE_DOMAIN_COUNT = 4;
    private static final long START_TIMEOUT_MILLIS = 60_000;
    private static final long EXIT_TIMEOUT_MILLIS = 40_000;
    // The options of bin/launch, with the C1 compiler only, because C2 would still be compiling during short runs.
    private static final List<String> PROXY_JAVA_OPTIONS = List.of(
            "-Xmx192m",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-Djdk.virtualThreadScheduler.parallelism=2",
            "-Djdk.pollerMode=1",
            "-Dio.netty.noUnsafe=true",
            "--enable-native-access=ALL-UNNAMED");
    // Stand-ins need less memory than proxies, and code of the C1 compiler is fast enough for them.
    private static final List<String> STAND_IN_JAVA_OPTIONS =
            List.of("-Xmx128m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1");

    private final FleetSettings settings;
    private final Path directory;
    private final String platformAddress = FreePorts.nextLoopbackAddress();
    private final AdminClient adminClient = AdminClient.create(3_000);
    private final List<FleetMember> proxies = new ArrayList<>();
    private final List<FleetMember> backends = new ArrayList<>();
    private final ChangeCommitter committer;
    private ChildProcess platform;
    private long changeCount;
    private boolean closed;

    private Fleet(FleetSettings settings, Path directory) {
        this.settings = settings;
        this.directory = directory;
        this.committer = ChangeCommitter.create(StoreClient.create(URI.create(platformUrl())));
    }

    /**
     * Starts a fleet and waits until all its backend servers and proxies are ready.
     *
     * @param settings the numbers and settings of the processes
     * @return the running fleet
     * @throws CassiabankException with {@link ErrorCode#START_FAILED} if a process does not start or does not become
     *     ready within 60 s
     */
    public static Fleet start(FleetSettings settings) {
        try {
            Fleet fleet = new Fleet(settings, Files.createTempDirectory("cassiabank-fleet"));
            // The hook also terminates the processes if a signal terminates the tool while it starts them.
            Runtime.getRuntime().addShutdownHook(new Thread(fleet::close));
            try {
                fleet.startProcesses();
                return fleet;
            } catch (RuntimeException exception) {
                fleet.close();
                throw exception;
            }
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    /**
     * Returns the proxies in the order of their numbers.
     *
     * @return a copy of the list; empty if the fleet has no proxies
     */
    public List<FleetMember> proxies() {
        return List.copyOf(proxies);
    }

    /**
     * Returns the backend servers of all services, in the order of the services and then of the server numbers.
     *
     * @return a copy of the list
     */
    public List<FleetMember> backends() {
        return List.copyOf(backends);
    }

    /**
     * Finds a proxy or backend server by its name.
     *
     * @param name the name
     * @return the member, or empty if no member has that name
     */
    public Optional<FleetMember> findMember(String name) {
        return Stream.concat(backends.stream(), proxies.stream())
                .filter(member -> member.name().equals(name))
                .findFirst();
    }

    /**
     * Returns the directory that holds the settings, logs and journals of all processes.
     *
     * @return the directory
     */
    public Path directory() {
        return directory;
    }

    /**
     * Returns the URL of the platform stand-in.
     *
     * @return the URL without a slash at the end
     */
    public String platformUrl() {
        return "http://" + platformAddress;
    }

    /**
     * Returns the process of the platform stand-in.
     *
     * @return the running process
     */
    public ChildProcess platform() {
        return platform;
    }

    /**
     * Returns a client for the control pages of backend servers and the admin pages of proxies.
     *
     * @return the client, whose calls time out after 3 s
     */
    public AdminClient adminClient() {
        return adminClient;
    }

    /**
     * Starts a load balancer that distributes requests over the proxies.
     *
     * @return the load balancer, to be closed by the caller
     */
    public LoadBalancer startProxyBalancer() {
        return startBalancer(proxies);
    }

    /**
     * Starts a load balancer that distributes requests over the backend servers, for measurements without proxies.
     *
     * @return the load balancer, to be closed by the caller
     */
    public LoadBalancer startBackendBalancer() {
        return startBalancer(backends);
    }

    /**
     * Commits declarations as {@code cassiabankctl apply} does, but in this process, so that the time of acceptance
     * does not include the start of a process.
     *
     * @param toml the declarations as a TOML document
     * @return the revision of the accepted change
     * @throws CassiabankException if the declarations are invalid or the store does not accept the change
     */
    public synchronized long applyDeclarations(String toml) {
        Configuration configuration = committer.refresh();
        List<Edit> edits = new ArrayList<>();
        for (Declaration declaration : DeclarationParser.parse("fleet", toml)) {
            VersionedDeclaration currentVersion = configuration.entities().get(declaration.key());
            edits.add(new PutEdit(declaration, currentVersion == null ? 0 : currentVersion.revision()));
        }
        changeCount++;
        return committer.commit("fleet-" + changeCount, edits).revision();
    }

    /**
     * Writes all members with their states to the instance list of the platform stand-in.
     *
     * @throws CassiabankException with {@link ErrorCode#STORE_UNAVAILABLE} if the stand-in does not accept the list
     */
    public void publishInstances() {
        List<FleetMember> members = new ArrayList<>(backends);
        members.addAll(proxies);
        byte[] document = InstanceListCodec.toJson(
                members.stream().map(member -> member.toInstance(REGION)).toList());
        AdminClient.AdminResponse response = adminClient.send(
                "PUT", platformUrl() + "/control/instances", new String(document, StandardCharsets.UTF_8));
        if (response.status() / 100 != 2) {
            throw CassiabankException.of(
                    ErrorCode.STORE_UNAVAILABLE,
                    "the platform stand-in rejected the instance list: " + response.status() + " " + response.body());
        }
    }

    /**
     * Restarts a member gracefully: sends SIGTERM, waits up to 40 s for the exit, starts the member again and waits
     * until it is ready.
     *
     * @param member the member
     * @return the exit code, or -1 if the process had not exited in time and was killed
     * @throws CassiabankException with {@link ErrorCode#START_FAILED} if the member does not become ready
     * @throws InterruptedException if the thread is interrupted
     */
    public int restart(FleetMember member) throws InterruptedException {
        member.process().sendSignal("TERM");
        int exitCode = member.process().awaitExit(EXIT_TIMEOUT_MILLIS);
        member.close();
        startMember(member);
        awaitReady(member);
        return exitCode;
    }

    /**
     * Kills a member without a graceful stop, as a crash does, starts it again and waits until it is ready.
     *
     * @param member the member
     * @throws CassiabankException with {@link ErrorCode#START_FAILED} if the member does not become ready
     */
    public void killAndRestart(FleetMember member) {
        member.close();
        startMember(member);
        awaitReady(member);
    }

    /**
     * Waits until the health page of a backend server or the readiness page of a proxy returns status 200. For a proxy,
     * also waits until its idempotency claims are ready.
     *
     * @param member the member
     * @throws CassiabankException with {@link ErrorCode#START_FAILED} if the process exits or is not ready within 60 s
     */
    public void awaitReady(FleetMember member) {
        if (!proxies.contains(member)) {
            awaitStatusOk(member.process(), member.controlUrl() + "/health");
            return;
        }
        awaitStatusOk(member.process(), member.controlUrl() + "/ready");
        // A new proxy refuses unrepeatable requests with an idempotency key until its peers have handed over their
        // claims.
        await(
                () -> adminClient
                        .getJson(member.controlUrl() + "/status")
                        .path("claims")
                        .path("ready")
                        .asBoolean(),
                member.process(),
                "its idempotency claims");
    }

    /**
     * Counts the executions that all backend servers have started, including those before a restart. The counts come
     * from the journal files of the servers.
     *
     * @return the number of executions per idempotency key; a request without a key is counted under its token
     */
    public Map<String, Integer> countExecutions() {
        Map<String, Integer> executionCounts = new HashMap<>();
        for (FleetMember backend : backends) {
            Path journalFile = journalFile(backend.name());
            if (Files.exists(journalFile)) {
                try (Stream<String> settingLines = Files.lines(journalFile)) {
                    settingLines.forEach(key -> executionCounts.merge(key, 1, Integer::sum));
                } catch (IOException exception) {
                    throw new UncheckedIOException(exception);
                }
            }
        }
        return executionCounts;
    }

    @Override
    public synchronized void close() {
        closed = true;
        proxies.forEach(FleetMember::close);
        backends.forEach(FleetMember::close);
        if (platform != null) {
            platform.close();
        }
    }

    private void startProcesses() throws IOException {
        platform = ChildProcess.start(
                "platform",
                "org.cassiabank.standin.PlatformMain",
                STAND_IN_JAVA_OPTIONS,
                List.of("--address", platformAddress),
                directory.resolve("platform.log"));
        for (FleetService service : settings.services()) {
            for (int number = 1; number <= service.serverCount(); number++) {
                addBackend(service, number);
            }
        }
        for (int number = 1; number <= settings.proxyCount(); number++) {
            addProxy(number);
        }
        awaitStatusOk(platform, platformUrl() + "/v1/instances");
        publishInstances();
        backends.forEach(this::startMember);
        if (!proxies.isEmpty()) {
            StringBuilder toml = new StringBuilder();
            settings.services().forEach(service -> toml.append(service.toToml()));
            applyDeclarations(toml.toString());
            proxies.forEach(this::startMember);
        }
        backends.forEach(this::awaitReady);
        proxies.forEach(this::awaitReady);
    }

    private synchronized void startMember(FleetMember member) {
        if (closed) {
            throw CassiabankException.of(ErrorCode.START_FAILED, "the fleet is closed and cannot start processes");
        }
        member.start();
    }

    private void addBackend(FleetService service, int number) {
        String name = service.name() + "-" + number;
        String address = FreePorts.nextLoopbackAddress();
        List<String> arguments = new ArrayList<>(List.of(
                "--address", address,
                "--name", name,
                "--slots", Integer.toString(service.slotsPerServer()),
                "--seed", Long.toString(settings.seed() * 1_000 + number),
                "--journal", journalFile(name).toString()));
        arguments.addAll(settings.backendArguments());
        backends.add(FleetMember.backend(
                name,
                failureDomain(number),
                address,
                () -> ChildProcess.start(
                        name,
                        "org.cassiabank.standin.BackendMain",
                        STAND_IN_JAVA_OPTIONS,
                        arguments,
                        directory.resolve(name + ".log"))));
    }

    private void addProxy(int number) throws IOException {
        String name = "proxy-" + number;
        List<String> addresses = List.of(
                FreePorts.nextLoopbackAddress(), FreePorts.nextLoopbackAddress(), FreePorts.nextLoopbackAddress());
        Map<String, String> settingLines = new HashMap<>(settings.proxySettings());
        settingLines.put("name", quoted(name));
        settingLines.put("region", quoted(REGION));
        settingLines.put("failure-domain", quoted(failureDomain(number)));
        settingLines.put("callers-address", quoted(addresses.get(0)));
        settingLines.put("peer-address", quoted(addresses.get(1)));
        settingLines.put("admin-address", quoted(addresses.get(2)));
        settingLines.put("store", quoted(platformUrl()));
        StringBuilder toml = new StringBuilder();
        settingLines.forEach(
                (key, value) -> toml.append(key).append(" = ").append(value).append('\n'));
        Path settingsFile = Files.writeString(directory.resolve(name + ".toml"), toml);
        proxies.add(FleetMember.proxy(
                name,
                failureDomain(number),
                addresses,
                () -> ChildProcess.start(
                        name,
                        "org.cassiabank.proxy.ProxyMain",
                        PROXY_JAVA_OPTIONS,
                        List.of(settingsFile.toString()),
                        directory.resolve(name + ".log"))));
    }

    private void awaitStatusOk(ChildProcess process, String url) {
        await(() -> adminClient.send("GET", url, "").status() == 200, process, url);
    }

    private static void await(BooleanSupplier condition, ChildProcess process, String awaited) {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_TIMEOUT_MILLIS);
        while (!condition.getAsBoolean()) {
            if (!process.isAlive() || System.nanoTime() > endNanos) {
                throw CassiabankException.of(
                        ErrorCode.START_FAILED,
                        process.name()
                                + (process.isAlive()
                                        ? " did not become ready in time; waited for "
                                        : " exited; waited for ")
                                + awaited + ": " + process.lastLogLines());
            }
            try {
                Thread.sleep(50);
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
                throw CassiabankException.of(ErrorCode.START_FAILED, "interrupted while waiting for " + awaited);
            }
        }
    }

    private Path journalFile(String backend) {
        return directory.resolve(backend + ".journal");
    }

    private static LoadBalancer startBalancer(List<FleetMember> members) {
        return LoadBalancer.start(members.stream()
                .map(member -> new LoadBalancer.Target(member.address(), member.controlUrl() + "/health"))
                .toList());
    }

    private static String failureDomain(int number) {
        return "domain-" + (number - 1) % FAILURE_DOMAIN_COUNT;
    }

    private static String quoted(String text) {
        return '"' + text + '"';
    }
}
