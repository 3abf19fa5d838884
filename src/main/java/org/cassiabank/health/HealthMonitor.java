package org.cassiabank.health;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Judges the backend servers of one shard from the outcomes of real work.
 *
 * <p>Verdicts change only in {@link #evaluate}; {@link #record} and {@link #recordInFlight} collect evidence. A new
 * monitor takes every server for healthy. Work of servers that are not in the shard is ignored. Instances are not
 * thread-safe. Times have to come from one clock that does not go back.
 */
public final class HealthMonitor {
    private final HealthSettings settings;
    private final OutlierDetector detector;
    private final Map<String, Server> servers = new LinkedHashMap<>();
    private final BitSet indexes = new BitSet();
    private int floor;
    private boolean hasServers;

    private HealthMonitor(HealthSettings settings) {
        this.settings = settings;
        this.detector = new OutlierDetector(settings);
    }

    /**
     * Creates a monitor without servers.
     *
     * @param settings the limits
     * @return the monitor
     */
    public static HealthMonitor create(HealthSettings settings) {
        return new HealthMonitor(Objects.requireNonNull(settings, "settings"));
    }

    /**
     * Sets the servers of the shard and its floor. Servers of the first call that has any count as long running;
     * servers that appear later are taken for cold at first.
     *
     * @param current all servers of the shard
     * @param newFloor how many servers that are neither ejected nor leaving nor cold are to remain, not negative
     * @param nowMillis the time in milliseconds
     * @throws IllegalArgumentException if the floor is negative or two servers have the same name
     */
    public void replaceServers(List<MonitoredServer> current, int newFloor, long nowMillis) {
        if (newFloor < 0) {
            throw new IllegalArgumentException("floor is negative: " + newFloor);
        }
        Set<String> names = current.stream().map(MonitoredServer::name).collect(Collectors.toSet());
        if (names.size() < current.size()) {
            throw new IllegalArgumentException("two servers have the same name: " + current);
        }
        List<Server> departed = servers.values().stream()
                .filter(server -> !names.contains(server.description.name()))
                .toList();
        for (Server server : departed) {
            servers.remove(server.description.name());
            indexes.clear(server.evidence.index());
            detector.forget(server.evidence.index());
        }
        for (MonitoredServer description : current) {
            Server server = servers.computeIfAbsent(description.name(), name -> add(description, nowMillis));
            server.description = description;
            if (!description.warm()) {
                server.coldUntilMillis = nowMillis + settings.coldGraceMillis();
            }
        }
        floor = newFloor;
        hasServers |= !current.isEmpty();
    }

    /**
     * Takes the end of an attempt as evidence.
     *
     * @param attempt the end of the attempt
     * @param nowMillis the time in milliseconds at which the attempt ended
     */
    public void record(CompletedAttempt attempt, long nowMillis) {
        Server server = servers.get(attempt.server());
        if (server == null) {
            return;
        }
        long startMillis = nowMillis - attempt.latencyMicros() / 1_000;
        // A deadline that is short for its route says nothing about the server.
        boolean isEvidence = attempt.outcome() != AttemptOutcome.OVERDUE
                || detector.isOverdue(attempt.route(), attempt.latencyMicros(), nowMillis);
        if (isEvidence) {
            server.suspicion.ifPresent(suspicion -> suspicion.note(attempt.outcome(), startMillis, nowMillis));
        }
        if (server.probation.health() == ServerHealth.EJECTED) {
            return;
        }
        Judgement judgement =
                detector.record(server.evidence, attempt, scope(server, nowMillis), servers.size(), nowMillis);
        server.probation.note(judgement, startMillis);
    }

    /**
     * Takes an attempt that has not ended as evidence. It may be observed any number of times and counts
     * once when it becomes slow and once more each time it has become slower by the slow factor.
     *
     * @param serverName the name of the server
     * @param route the selector that the request was routed by
     * @param elapsedMicros the time since the request was sent, in microseconds
     * @param nowMillis the time in milliseconds
     */
    public void recordInFlight(String serverName, String route, long elapsedMicros, long nowMillis) {
        Server server = servers.get(Objects.requireNonNull(serverName, "serverName"));
        if (server == null || server.probation.health() == ServerHealth.EJECTED) {
            return;
        }
        Judgement judgement = detector.observeInFlight(
                server.evidence, route, elapsedMicros, scope(server, nowMillis), servers.size(), nowMillis);
        server.probation.note(judgement, nowMillis - elapsedMicros / 1_000);
    }

    /**
     * Decides about all servers.
     *
     * @param nowMillis the time in milliseconds
     * @return the verdict for each server by name, in the order in which the servers became known
     */
    public Map<String, ServerHealth> evaluate(long nowMillis) {
        List<ServerEvidence> inUse = new ArrayList<>();
        for (Server server : servers.values()) {
            advance(server, nowMillis);
            if (server.probation.health() == ServerHealth.HEALTHY) {
                inUse.add(server.evidence);
            }
        }
        boolean[] outliers = detector.outliers(inUse, nowMillis);
        List<EjectionPolicy.Candidate> candidates = new ArrayList<>();
        int next = 0;
        for (Server server : servers.values()) {
            boolean isInUse = server.probation.health() == ServerHealth.HEALTHY;
            candidates.add(server.toCandidate(isInUse && outliers[next]));
            next += isInUse ? 1 : 0;
        }
        apply(EjectionPolicy.decide(candidates, floor), nowMillis);
        Map<String, ServerHealth> verdicts = LinkedHashMap.newLinkedHashMap(servers.size());
        servers.forEach((name, server) -> verdicts.put(name, server.probation.health()));
        addSuspects(verdicts, nowMillis);
        return verdicts;
    }

    /** Avoids suspect servers as far as the floor allows, those with the latest failures first. */
    private void addSuspects(Map<String, ServerHealth> verdicts, long nowMillis) {
        List<Server> suspects = new ArrayList<>();
        int kept = 0;
        for (Server server : servers.values()) {
            server.suspicion.ifPresent(suspicion -> suspicion.advance(nowMillis));
            boolean isUsable = server.probation.health() == ServerHealth.HEALTHY && !server.description.leaving();
            kept += isUsable ? 1 : 0;
            if (isUsable
                    && server.suspicion.isPresent()
                    && server.suspicion.get().health() != ServerHealth.HEALTHY) {
                suspects.add(server);
            }
        }
        suspects.sort(Comparator.comparingLong(
                        (Server server) -> server.suspicion.orElseThrow().sinceMillis())
                .reversed());
        for (Server server : suspects.subList(0, Math.clamp(kept - floor, 0, suspects.size()))) {
            verdicts.put(
                    server.description.name(), server.suspicion.orElseThrow().health());
        }
    }

    private void advance(Server server, long nowMillis) {
        ServerHealth before = server.probation.health();
        if (before != ServerHealth.EJECTED) {
            detector.checkSilence(server.evidence, scope(server, nowMillis), servers.size(), nowMillis);
        }
        server.probation.advance(nowMillis);
        if (before == ServerHealth.PROBATION && server.probation.health() == ServerHealth.HEALTHY) {
            server.evidence.resetTests();
        }
    }

    private void apply(EjectionPolicy.Decision decision, long nowMillis) {
        for (String name : decision.readmit()) {
            Server server = servers.get(name);
            server.probation.readmit(nowMillis);
            server.evidence.resetTests();
        }
        for (String name : decision.eject()) {
            Server server = servers.get(name);
            server.probation.eject(nowMillis);
            detector.forget(server.evidence.index());
        }
        if (!decision.eject().isEmpty()) {
            servers.values().forEach(server -> server.evidence.restartErrorComparison());
        }
    }

    private OutlierDetector.Scope scope(Server server, long nowMillis) {
        boolean isWarm = server.description.warm() && nowMillis >= server.coldUntilMillis;
        return new OutlierDetector.Scope(isWarm && server.probation.health() == ServerHealth.HEALTHY, isWarm);
    }

    private Server add(MonitoredServer description, long nowMillis) {
        int index = indexes.nextClearBit(0);
        indexes.set(index);
        Server server = new Server();
        server.description = description;
        server.evidence = detector.createEvidence(index);
        server.probation = new Probation(settings, nowMillis);
        server.suspicion = settings.suspicion().map(limits -> new Suspicion(limits, nowMillis));
        server.coldUntilMillis = hasServers ? nowMillis + settings.coldGraceMillis() : nowMillis;
        return server;
    }

    /** All that the monitor holds about one server. */
    private static final class Server {
        private MonitoredServer description;
        private ServerEvidence evidence;
        private Probation probation;
        private Optional<Suspicion> suspicion = Optional.empty();
        private long coldUntilMillis;

        private EjectionPolicy.Candidate toCandidate(boolean isOutlier) {
            return new EjectionPolicy.Candidate(
                    description.name(),
                    probation.health(),
                    description.leaving(),
                    description.warm(),
                    isOutlier,
                    evidence.severity());
        }
    }
}
