package org.cassiabank.proxy;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cassiabank.backend.BackendClient;
import org.cassiabank.health.ServerReachability;
import org.cassiabank.kernel.BackgroundTasks;
import org.cassiabank.kernel.Kernel;
import org.cassiabank.kernel.KernelService;
import org.cassiabank.membership.Instance;
import org.cassiabank.membership.InstanceRole;

/**
 * Watches whether this daemon can open connections to backend servers, and tries a few of them when it seems that it
 * cannot, so that a lost path and its return are noticed without requests of callers.
 */
final class ServerPathMonitor implements KernelService {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** The pause between trials while no server can be reached. */
    private static final long TRIAL_INTERVAL_MILLIS = 500;

    private static final int SERVERS_PER_TRIAL = 2;
    /** A single server that cannot be reached causes trials at others at most once in this time. */
    private static final long SUSPICION_INTERVAL_MILLIS = 1_000;

    private final FleetState fleet;
    private final BackendClient backendClient;
    private final ServerReachability reachability = ServerReachability.create();
    private final Set<Runnable> repeatableAttempts = ConcurrentHashMap.newKeySet();
    private final ExecutorService workers = Executors.newVirtualThreadPerTaskExecutor();
    private final ScheduledExecutorService trialTimer = Executors.newSingleThreadScheduledExecutor(
            Thread.ofPlatform().name("server-path").daemon().factory());
    private volatile boolean cutOff;
    private long lastSuspicionMillis = Long.MIN_VALUE / 2;

    private ServerPathMonitor(FleetState fleet, BackendClient backendClient, ProxyMetrics metrics) {
        this.fleet = fleet;
        this.backendClient = backendClient;
        metrics.registerGauge(
                "cassiabank_cut_off_from_servers",
                "1 while this daemon reaches no backend server and passes requests on to peers.",
                () -> cutOff ? 1 : 0);
    }

    static ServerPathMonitor create(FleetState fleet, BackendClient backendClient, ProxyMetrics metrics) {
        return new ServerPathMonitor(
                Objects.requireNonNull(fleet, "fleet"),
                Objects.requireNonNull(backendClient, "backendClient"),
                Objects.requireNonNull(metrics, "metrics"));
    }

    @Override
    public void start(Kernel kernel) {
        trialTimer.scheduleWithFixedDelay(
                BackgroundTasks.guarded("server-path", this::tryWhileCutOff),
                TRIAL_INTERVAL_MILLIS,
                TRIAL_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    @Override
    public void stop() {
        trialTimer.shutdownNow();
        workers.shutdownNow();
    }

    /** Tells whether this daemon reaches no backend server. */
    boolean isCutOff() {
        return cutOff;
    }

    /**
     * Cancels an attempt when the path is lost, because it may hang until its deadline.
     *
     * @param cancellation cancels an attempt at a request that may run again
     */
    void cancelWhenCutOff(Runnable cancellation) {
        repeatableAttempts.add(cancellation);
    }

    /** Ends {@link #cancelWhenCutOff} for an attempt that has completed. */
    void attemptCompleted(Runnable cancellation) {
        repeatableAttempts.remove(cancellation);
    }

    /** Records that a connection to some server was opened. */
    void recordOpened() {
        boolean wasCutOff;
        synchronized (this) {
            wasCutOff = reachability.recordReached();
            cutOff = false;
        }
        if (wasCutOff) {
            LOGGER.atInfo().log("this daemon reaches backend servers again");
        }
    }

    /** Records that an attempt could not open a connection to a server, and tries others if there is reason to. */
    void recordNotOpened(String serverName) {
        if (recordUnreachable(serverName)) {
            tryServers(ServerReachability.REQUIRED_SERVERS);
        }
    }

    /** Returns whether other servers should be tried. */
    private boolean recordUnreachable(String serverName) {
        Optional<Instance> server = fleet.view().instances().find(serverName);
        if (server.isEmpty()) {
            return false;
        }
        int serverCount =
                (int) servers().limit(ServerReachability.REQUIRED_SERVERS).count();
        int domainCount = (int) servers()
                .map(Instance::failureDomain)
                .distinct()
                .limit(ServerReachability.REQUIRED_DOMAINS)
                .count();
        long nowMillis = MonotonicClock.millis();
        boolean lost;
        boolean suspected;
        Set<String> unreachable;
        synchronized (this) {
            lost = reachability.recordUnreachable(
                    serverName, server.get().failureDomain(), serverCount, domainCount, nowMillis);
            cutOff = reachability.isCutOff();
            unreachable = reachability.unreachableServers();
            suspected = !cutOff && nowMillis - lastSuspicionMillis >= SUSPICION_INTERVAL_MILLIS;
            lastSuspicionMillis = suspected ? nowMillis : lastSuspicionMillis;
        }
        if (lost) {
            LOGGER.atWarning().log(
                    "this daemon reaches no backend server, last tried %s; requests are passed on to peers",
                    unreachable);
            backendClient.closeIdleConnections();
            repeatableAttempts.forEach(Runnable::run);
        }
        return suspected;
    }

    private void tryWhileCutOff() {
        if (cutOff) {
            tryServers(SERVERS_PER_TRIAL);
        }
    }

    /** Tries to connect to live servers that have not failed lately, or to any while this daemon is cut off. */
    private void tryServers(int count) {
        Set<String> unreachable;
        synchronized (this) {
            unreachable = cutOff ? Set.of() : reachability.unreachableServers();
        }
        List<Instance> candidates = servers()
                .filter(server -> server.isLive() && !unreachable.contains(server.name()))
                .collect(Collectors.toCollection(ArrayList::new));
        Collections.shuffle(candidates);
        for (Instance server :
                ofDistinctDomainsFirst(candidates).stream().limit(count).toList()) {
            workers.execute(BackgroundTasks.guarded("server-path", () -> tryServer(server)));
        }
    }

    private void tryServer(Instance server) {
        if (backendClient.canConnect(server.address())) {
            recordOpened();
        } else {
            recordUnreachable(server.name());
        }
    }

    private Stream<Instance> servers() {
        return fleet.view().instances().instances().stream()
                .filter(instance -> instance.role() == InstanceRole.BACKEND);
    }

    private static List<Instance> ofDistinctDomainsFirst(List<Instance> servers) {
        Map<String, Instance> firstByDomain = new LinkedHashMap<>();
        servers.forEach(server -> firstByDomain.putIfAbsent(server.failureDomain(), server));
        Set<Instance> ordered = new LinkedHashSet<>(firstByDomain.values());
        ordered.addAll(servers);
        return List.copyOf(ordered);
    }
}
