package org.cassiabank.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.cassiabank.fleet.SocksFaultRelay;
import org.cassiabank.load.FreePorts;
import org.cassiabank.platform.StoreStandIn;

/** Injects faults from outside the daemons, at random times from a seed. The faults overlap and follow each other. */
final class SoakFaults {
    /**
     * The exit of a daemon is recorded at most this long after callers observe it. The checks look that much earlier:
     * only disturbances that began by then excuse a lost request.
     */
    static final long RECORD_LAG_MILLIS = 400;

    private static final long EXIT_TIMEOUT_MILLIS = 6_000;
    private static final long RESTART_DELAY_MILLIS = 300;
    private static final long DRAIN_MILLIS = 2_000;
    private static final long JVM_START_MILLIS = 1_000;
    private static final long RATE_LIMIT_MILLIS = 5_000;
    private static final long REFUSAL_MILLIS = 3_000;
    private static final long LEAVING_MILLIS = 5_000;
    private static final long SERVER_REPORT_MILLIS = 1_500;
    /** Three missed reports. */
    private static final long SERVER_EXPIRY_MILLIS = 4_500;

    private final SoakFleet fleet;
    private final RequestHistory history;
    private final long callerSeed;
    private final Random random;
    /** Draws what came to the soak later, so that a seed keeps the order of the other faults. */
    private final Random mannerRandom;

    private final Random restorationRandom;
    private final Random cutRandom;
    private final Random leavingRandom;
    private final Random refusalRandom;

    private final List<String> log = Collections.synchronizedList(new ArrayList<>());

    SoakFaults(SoakFleet fleet, RequestHistory history, long seed) {
        this.fleet = fleet;
        this.history = history;
        this.callerSeed = seed + 2;
        this.random = new Random(seed);
        this.mannerRandom = new Random(seed + 1);
        this.restorationRandom = new Random(seed + 3);
        this.cutRandom = new Random(seed + 4);
        this.leavingRandom = new Random(seed + 5);
        this.refusalRandom = new Random(seed + 6);
    }

    /**
     * Injects faults and waits until all of them are over.
     *
     * @param count the number of faults
     * @param periodMillis the period in which the faults begin, in milliseconds
     */
    void injectAll(int count, long periodMillis) throws InterruptedException {
        List<Thread> injections = new ArrayList<>();
        injections.add(Thread.ofVirtual().start(() -> limitServers(periodMillis)));
        injections.add(Thread.ofVirtual().start(() -> sendFatalRequests(periodMillis)));
        injections.add(Thread.ofVirtual().start(() -> restoreStore(periodMillis)));
        injections.add(Thread.ofVirtual().start(() -> cutDaemonsFromServers(periodMillis)));
        injections.add(Thread.ofVirtual().start(() -> refuseAfterRunning(periodMillis)));
        injections.add(Thread.ofVirtual().start(() -> announceLeavingOnlyInResponses(periodMillis)));
        long startMillis = RequestHistory.nowMillis();
        long[] offsetsMillis = random.longs(count, 0, periodMillis).sorted().toArray();
        for (long offsetMillis : offsetsMillis) {
            TimeUnit.MILLISECONDS.sleep(Math.max(0, startMillis + offsetMillis - RequestHistory.nowMillis()));
            FaultKind kind = FaultKind.values()[random.nextInt(FaultKind.values().length)];
            SoakFleet.Daemon daemon = fleet.daemons.get(random.nextInt(fleet.daemons.size()));
            List<SoakServer> servers = fleet.servers.values().stream()
                    .sorted(Comparator.comparing(SoakServer::name))
                    .toList();
            SoakServer server = servers.get(random.nextInt(servers.size()));
            long durationMillis = 500 + random.nextInt(3_500);
            log.add(offsetMillis + " ms: " + kind + " " + daemon.name + " " + server.name() + " for " + durationMillis
                    + " ms");
            injections.add(Thread.ofVirtual().start(() -> inject(kind, daemon, server, durationMillis)));
        }
        for (Thread thread : injections) {
            thread.join();
        }
    }

    List<String> log() {
        return log;
    }

    private void inject(FaultKind kind, SoakFleet.Daemon daemon, SoakServer server, long millis) {
        long from = RequestHistory.nowMillis();
        try {
            switch (kind) {
                case PAUSE, KILL, TERMINATE -> disturbDaemon(kind, daemon, millis);
                case HANGUP -> {
                    while (RequestHistory.nowMillis() < daemon.launchedAtMillis + JVM_START_MILLIS) {
                        TimeUnit.MILLISECONDS.sleep(100);
                    }
                    daemon.process.sendSignal("HUP");
                }
                case FRONT_RESET -> {
                    daemon.disturbances.add(new SoakFleet.Span(from - RECORD_LAG_MILLIS, from));
                    daemon.front.resetOpenConnections();
                }
                case FRONT_SILENT -> {
                    daemon.disturbances.add(new SoakFleet.Span(from - RECORD_LAG_MILLIS, from + 3_000));
                    daemon.front.blackholeOpenConnections();
                }
                case FRONT_SLOW ->
                    apply(daemon, millis, () -> daemon.front.setDelayMillis(100), () -> daemon.front.setDelayMillis(0));
                case STORE_CUT ->
                    apply(
                            daemon,
                            millis,
                            () -> daemon.storeRelay.setDropFromTarget(true),
                            () -> daemon.storeRelay.setDropFromTarget(false));
                case STORE_SILENT -> {
                    daemon.disturbances.add(new SoakFleet.Span(from, from));
                    daemon.storeRelay.blackholeOpenConnections();
                }
                case STORE_DOWN ->
                    applyToStore(millis, () -> fleet.store.failWithStatus(503), () -> fleet.store.failWithStatus(0));
                case STORE_SLOW ->
                    applyToStore(millis, () -> fleet.store.setDelayMillis(250), () -> fleet.store.setDelayMillis(0));
                case STORE_LOSES_ANSWERS ->
                    applyToStore(millis, () -> fleet.store.dropResponses(true), () -> fleet.store.dropResponses(false));
                case STORE_FORGETS -> fleet.store.compactHistory();
                case LEASES_LAPSE -> fleet.store.expireLeases();
                case SERVER_FAULT -> {
                    server.setFault(SoakServer.Fault.values()[1 + (int) (millis % 7)]);
                    TimeUnit.MILLISECONDS.sleep(2 * millis);
                    server.setFault(SoakServer.Fault.NONE);
                }
                case SERVER_CRASH -> crash(server, millis);
                case SERVER_REPLACED -> replace(server);
                case CONFIGURATION -> fleet.changeConfiguration();
                case CONFIGURATION_STORM -> {
                    for (int change = 0; change < 5; change++) {
                        fleet.changeConfiguration();
                        TimeUnit.MILLISECONDS.sleep(300);
                    }
                }
            }
        } catch (IOException exception) {
            log.add("failed: " + kind + ": " + exception.getMessage());
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    /** Repeats a request that ends the servers that run it. */
    private void sendFatalRequests(long periodMillis) {
        try {
            TimeUnit.MILLISECONDS.sleep(periodMillis / 8);
            SoakCaller caller = new SoakCaller(fleet, history, callerSeed);
            caller.repeatFatalRequest(periodMillis);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    /** Takes the store away and brings it back from an older copy, twice. */
    private void restoreStore(long periodMillis) {
        try {
            for (int count = 0; count < 2; count++) {
                TimeUnit.MILLISECONDS.sleep(restorationRandom.nextLong(periodMillis / 4));
                StoreStandIn.Copy copy = fleet.store.copy();
                TimeUnit.MILLISECONDS.sleep(500 + restorationRandom.nextInt(3_000));
                long outageMillis = 200 + restorationRandom.nextInt(2_000);
                log.add("the store is down for " + outageMillis + " ms and comes back at revision " + copy.revision());
                applyToStore(outageMillis, () -> fleet.store.failWithStatus(503), () -> {
                    fleet.restoreStore(copy);
                    fleet.store.failWithStatus(0);
                });
                TimeUnit.MILLISECONDS.sleep(SERVER_REPORT_MILLIS);
                fleet.publishServersAgain();
                TimeUnit.MILLISECONDS.sleep(SERVER_EXPIRY_MILLIS - SERVER_REPORT_MILLIS);
                fleet.expireFormerServers();
            }
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    /** Cuts some daemons, up to all but one, off from all servers; peers, callers and the store stay reachable. */
    private void cutDaemonsFromServers(long periodMillis) {
        try {
            TimeUnit.MILLISECONDS.sleep(cutRandom.nextLong(periodMillis / 2));
            List<SoakFleet.Daemon> daemons = new ArrayList<>(fleet.daemons);
            Collections.shuffle(daemons, cutRandom);
            List<SoakFleet.Daemon> cutDaemons = daemons.subList(0, 1 + cutRandom.nextInt(daemons.size() - 1));
            SocksFaultRelay.Manner manner =
                    SocksFaultRelay.Manner.values()[cutRandom.nextInt(SocksFaultRelay.Manner.values().length)];
            long durationMillis = 4_000 + cutRandom.nextInt(4_000);
            long fromMillis = RequestHistory.nowMillis();
            log.add("cut from all servers for " + durationMillis + " ms, " + manner + ": "
                    + cutDaemons.stream().map(daemon -> daemon.name).toList());
            cutDaemons.forEach(daemon -> daemon.connectionRelay.cut(port -> !fleet.isPeerOrStorePort(port), manner));
            TimeUnit.MILLISECONDS.sleep(durationMillis);
            cutDaemons.forEach(daemon -> daemon.connectionRelay.heal());
            fleet.recordServerCut(new SoakFleet.ServerCut(
                    cutDaemons.stream().map(daemon -> daemon.number).collect(Collectors.toSet()),
                    new SoakFleet.Span(fromMillis, RequestHistory.nowMillis())));
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    /** Makes a server that the store lists as ready say in its responses that it leaves; then it starts again. */
    private void announceLeavingOnlyInResponses(long periodMillis) {
        try {
            TimeUnit.MILLISECONDS.sleep(leavingRandom.nextLong(periodMillis / 2));
            List<SoakServer> servers = fleet.servers.values().stream()
                    .sorted(Comparator.comparing(SoakServer::name))
                    .toList();
            SoakServer server = servers.get(leavingRandom.nextInt(servers.size()));
            log.add(server.name() + " announces its leaving in its responses only");
            server.announceLeavingInResponses();
            TimeUnit.MILLISECONDS.sleep(LEAVING_MILLIS + leavingRandom.nextInt(2_000));
            crash(server, RESTART_DELAY_MILLIS);
        } catch (IOException exception) {
            log.add("failed: a leaving server did not start again: " + exception.getMessage());
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    /** Makes two servers after each other run requests and refuse them afterwards. */
    private void refuseAfterRunning(long periodMillis) {
        try {
            for (int count = 0; count < 2; count++) {
                TimeUnit.MILLISECONDS.sleep(refusalRandom.nextLong(periodMillis / 4));
                List<SoakServer> servers = fleet.servers.values().stream()
                        .sorted(Comparator.comparing(SoakServer::name))
                        .toList();
                SoakServer server = servers.get(refusalRandom.nextInt(servers.size()));
                log.add(server.name() + " refuses requests that it has run");
                server.setFault(SoakServer.Fault.UNPROVEN_REFUSAL);
                TimeUnit.MILLISECONDS.sleep(REFUSAL_MILLIS);
                server.setFault(SoakServer.Fault.NONE);
            }
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    /** Makes two servers after each other name limits of requests a second. */
    private void limitServers(long periodMillis) {
        try {
            for (int count = 0; count < 2; count++) {
                TimeUnit.MILLISECONDS.sleep(mannerRandom.nextLong(periodMillis / 4));
                List<SoakServer> servers = fleet.servers.values().stream()
                        .sorted(Comparator.comparing(SoakServer::name))
                        .toList();
                SoakServer server = servers.get(mannerRandom.nextInt(servers.size()));
                double requestsPerSecond = 1 + mannerRandom.nextInt(40) / 10.0;
                long fromMillis = RequestHistory.nowMillis();
                server.setRateLimit(requestsPerSecond);
                TimeUnit.MILLISECONDS.sleep(RATE_LIMIT_MILLIS + mannerRandom.nextInt(2_000));
                server.setRateLimit(0);
                fleet.recordRateLimit(new SoakFleet.RateLimitSpan(
                        server.name(), requestsPerSecond, new SoakFleet.Span(fromMillis, RequestHistory.nowMillis())));
            }
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    private void disturbDaemon(FaultKind kind, SoakFleet.Daemon daemon, long durationMillis)
            throws InterruptedException {
        synchronized (daemon) {
            if (daemon.isBeingDisturbed) {
                return;
            }
            daemon.isBeingDisturbed = true;
        }
        long fromMillis = RequestHistory.nowMillis();
        switch (kind) {
            case PAUSE -> {
                daemon.pauses.add(new SoakFleet.Span(fromMillis, fromMillis + durationMillis + 200));
                daemon.disturbances.add(new SoakFleet.Span(fromMillis, fromMillis + durationMillis + 200));
                daemon.process.sendSignal("STOP");
                TimeUnit.MILLISECONDS.sleep(durationMillis);
                daemon.process.sendSignal("CONT");
            }
            case KILL -> {
                daemon.disturbances.add(
                        new SoakFleet.Span(fromMillis - RECORD_LAG_MILLIS, fromMillis + RESTART_DELAY_MILLIS + 3_000));
                daemon.process.sendSignal("KILL");
                restart(daemon);
            }
            default -> {
                daemon.terminations.add(new SoakFleet.Span(fromMillis, fromMillis + EXIT_TIMEOUT_MILLIS));
                daemon.process.sendSignal("TERM");
                daemon.process.awaitExit(EXIT_TIMEOUT_MILLIS);
                daemon.disturbances.add(new SoakFleet.Span(
                        RequestHistory.nowMillis(), RequestHistory.nowMillis() + RESTART_DELAY_MILLIS + 3_000));
                daemon.process.sendSignal("KILL");
                restart(daemon);
            }
        }
        daemon.isBeingDisturbed = false;
    }

    private void restart(SoakFleet.Daemon daemon) throws InterruptedException {
        daemon.process.awaitExit(1_000);
        TimeUnit.MILLISECONDS.sleep(RESTART_DELAY_MILLIS);
        if (!fleet.isStopping()) {
            fleet.launch(daemon);
        }
    }

    private void crash(SoakServer server, long durationMillis) throws IOException, InterruptedException {
        if (!fleet.servers.remove(server.name(), server)) {
            return;
        }
        server.close();
        TimeUnit.MILLISECONDS.sleep(durationMillis);
        fleet.restartServer(server);
    }

    /** Drains a server and starts a server of the other service at its address. */
    private void replace(SoakServer server) throws IOException, InterruptedException {
        if (!fleet.servers.remove(server.name(), server)) {
            return;
        }
        fleet.addServer(server.service(), FreePorts.nextPort());
        fleet.publishServer(server, "draining");
        server.announceLeaving();
        TimeUnit.MILLISECONDS.sleep(DRAIN_MILLIS + 500);
        fleet.withdrawServer(server);
        TimeUnit.MILLISECONDS.sleep(500);
        server.close();
        TimeUnit.MILLISECONDS.sleep(DRAIN_MILLIS);
        fleet.addServer(server.service().equals("alpha") ? "beta" : "alpha", server.port());
    }

    private static void apply(SoakFleet.Daemon daemon, long durationMillis, Runnable startFault, Runnable stopFault)
            throws InterruptedException {
        long fromMillis = RequestHistory.nowMillis();
        daemon.disturbances.add(new SoakFleet.Span(fromMillis, fromMillis + durationMillis + 200));
        startFault.run();
        TimeUnit.MILLISECONDS.sleep(durationMillis);
        stopFault.run();
    }

    private void applyToStore(long durationMillis, Runnable startFault, Runnable stopFault)
            throws InterruptedException {
        long fromMillis = RequestHistory.nowMillis();
        fleet.recordStoreDisturbance(fromMillis, fromMillis + durationMillis + 500);
        startFault.run();
        TimeUnit.MILLISECONDS.sleep(durationMillis);
        stopFault.run();
    }

    private enum FaultKind {
        PAUSE,
        KILL,
        TERMINATE,
        /** Sent after the JVM start: SIGHUP ends a JVM whose program has not started, which no program can prevent. */
        HANGUP,
        FRONT_RESET,
        /** Callers close the silent connections after their read timeout. */
        FRONT_SILENT,
        FRONT_SLOW,
        STORE_CUT,
        STORE_SILENT,
        STORE_DOWN,
        STORE_SLOW,
        STORE_LOSES_ANSWERS,
        STORE_FORGETS,
        LEASES_LAPSE,
        SERVER_FAULT,
        SERVER_CRASH,
        SERVER_REPLACED,
        CONFIGURATION,
        CONFIGURATION_STORM
    }
}
