package org.cassiabank.health;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Determines the health state of each backend server of one shard from the outcomes of callers' requests (passive
 * health checking).
 *
 * <p>Health states change only in {@link #evaluate}; {@link #record} and {@link #recordInFlight} collect evidence. A
 * new monitor treats every server as healthy. Attempts at servers that are not in the shard are ignored. Instances are
 * not thread-safe. All times must come from one monotonic clock.
 */
public final class HealthMonitor {
    /** After a longer time without observations this daemon was paused, and the ages of the attempts include it. */
    private static final long MAXIMUM_OBSERVATION_GAP_MILLIS = 250;

    /**
     * The grant reaches its entry proxy, and the end of the attempt the owner, within this time together; neither is
     * part of a latency.
     */
    private static final long MAXIMUM_MESSAGE_MICROS = 250_000;

    /** After a pause the ends of attempts are reported within this time. */
    private static final long LATE_REPORTS_MILLIS = 500;

    private final HealthSettings settings;
    private final OutlierDetector detector;
    private final Map<String, TrackedServer> servers = new LinkedHashMap<>();
    private final BitSet usedIndexes = new BitSet();
    private final SimultaneousBreaks simultaneousBreaks = new SimultaneousBreaks();
    private int floor;
    private int domainCount;
    private boolean hadServers;
    private long observedMillis = Long.MIN_VALUE / 2;
    private long observedFromMillis = Long.MIN_VALUE / 2;

    private HealthMonitor(HealthSettings settings) {
        this.settings = settings;
        this.detector = new OutlierDetector(settings);
    }

    /**
     * Creates a monitor without servers and with floor 0.
     *
     * @param settings the thresholds and times
     * @return the monitor
     */
    public static HealthMonitor create(HealthSettings settings) {
        return new HealthMonitor(Objects.requireNonNull(settings, "settings"));
    }

    /**
     * Sets the servers of the shard and its floor. Servers of the first call with a list that is not empty are treated
     * as long running; servers that are added later are treated as cold for {@link HealthSettings#coldGraceMillis}.
     *
     * @param currentServers all servers of the shard
     * @param newFloor the minimum number of servers that are neither ejected nor leaving nor cold, not negative
     * @param nowMillis the time in milliseconds
     * @throws IllegalArgumentException if the floor is negative or two servers have the same name
     */
    public void replaceServers(List<MonitoredServer> currentServers, int newFloor, long nowMillis) {
        if (newFloor < 0) {
            throw new IllegalArgumentException("floor is negative: " + newFloor);
        }
        Set<String> currentNames =
                currentServers.stream().map(MonitoredServer::name).collect(Collectors.toSet());
        if (currentNames.size() < currentServers.size()) {
            throw new IllegalArgumentException("two servers have the same name: " + currentServers);
        }
        List<TrackedServer> removedServers = servers.values().stream()
                .filter(server -> !currentNames.contains(server.description.name()))
                .toList();
        for (TrackedServer server : removedServers) {
            servers.remove(server.description.name());
            usedIndexes.clear(server.evidence.serverIndex());
            detector.removeServer(server.evidence.serverIndex());
        }
        for (MonitoredServer description : currentServers) {
            TrackedServer server =
                    servers.computeIfAbsent(description.name(), name -> createServer(description, nowMillis));
            server.description = description;
            if (!description.warm()) {
                server.coldUntilMillis = nowMillis + settings.coldGraceMillis();
            }
        }
        floor = newFloor;
        domainCount = (int) currentServers.stream()
                .map(MonitoredServer::failureDomain)
                .distinct()
                .count();
        hadServers |= !currentServers.isEmpty();
    }

    /**
     * Records a completed attempt as evidence about its server.
     *
     * @param attempt the completed attempt
     * @param nowMillis the time in milliseconds at which the attempt ended
     * @return the servers whose latest broken connections are no evidence against them, because connections to other
     *     servers broke at the same moment
     */
    public Set<String> record(CompletedAttempt attempt, long nowMillis) {
        TrackedServer server = servers.get(attempt.server());
        if (server == null) {
            return Set.of();
        }
        Set<String> excusedServers = attempt.outcome() == AttemptOutcome.BROKEN
                ? simultaneousBreaks.record(
                        attempt,
                        server.description.failureDomain(),
                        (int) servers.values().stream()
                                .filter(known -> !known.description.leaving())
                                .count(),
                        domainCount,
                        nowMillis)
                : Set.of();
        recordEvidence(attempt, server, excusedServers.contains(attempt.server()), nowMillis);
        for (String excused : excusedServers) {
            Optional.ofNullable(servers.get(excused))
                    .flatMap(known -> known.suspicion)
                    .ifPresent(Suspicion::excuseBreaks);
        }
        return excusedServers;
    }

    private void recordEvidence(CompletedAttempt attempt, TrackedServer server, boolean excused, long nowMillis) {
        long startMillis = nowMillis - attempt.latencyMicros() / 1_000;
        // An attempt that exceeds a deadline that is short for its route is no evidence about the server.
        boolean isEvidence = attempt.outcome() != AttemptOutcome.OVERDUE
                || detector.isOverdue(attempt.route(), attempt.latencyMicros(), nowMillis);
        if (isEvidence) {
            server.suspicion.ifPresent(suspicion ->
                    suspicion.recordAttempt(attempt.outcome(), attempt.repeatable(), startMillis, nowMillis));
        }
        if (excused || server.ejectionState.health() == ServerHealth.EJECTED) {
            return;
        }
        AttemptClassification classification =
                detector.record(server.evidence, attempt, evidenceScope(server, nowMillis), servers.size(), nowMillis);
        server.ejectionState.recordAttempt(classification, startMillis);
    }

    /**
     * Records an attempt in flight as evidence about its server. An attempt may be recorded any number of times; it
     * counts once when it becomes slow and once more each time it has become slower by the slow factor.
     *
     * @param serverName the name of the server
     * @param route the selector that the request was routed by
     * @param elapsedMicros the time since the request was sent, in microseconds
     * @param nowMillis the time in milliseconds
     */
    public void recordInFlight(String serverName, String route, long elapsedMicros, long nowMillis) {
        TrackedServer server = servers.get(Objects.requireNonNull(serverName, "serverName"));
        if (server == null) {
            return;
        }
        recordUnanswered(server, route, elapsedMicros, nowMillis);
        if (server.ejectionState.health() == ServerHealth.EJECTED) {
            return;
        }
        AttemptClassification classification = detector.recordInFlight(
                server.evidence, route, elapsedMicros, evidenceScope(server, nowMillis), servers.size(), nowMillis);
        server.ejectionState.recordAttempt(classification, nowMillis - elapsedMicros / 1_000);
    }

    private void recordUnanswered(TrackedServer server, String route, long elapsedMicros, long nowMillis) {
        if (nowMillis - observedMillis > MAXIMUM_OBSERVATION_GAP_MILLIS) {
            observedFromMillis = nowMillis;
        }
        observedMillis = nowMillis;
        boolean isLate = nowMillis - observedFromMillis < LATE_REPORTS_MILLIS;
        if (server.suspicion.isEmpty()
                || isLate
                || !evidenceScope(server, nowMillis).countsSlowness()) {
            return;
        }
        OptionalDouble longerShare =
                detector.shareOfLongerResponses(route, Math.max(0, elapsedMicros - MAXIMUM_MESSAGE_MICROS), nowMillis);
        if (longerShare.isPresent()) {
            server.suspicion
                    .get()
                    .recordInFlight(nowMillis - elapsedMicros / 1_000, longerShare.getAsDouble(), nowMillis);
        }
    }

    /**
     * Updates the health states of all servers from the evidence recorded so far.
     *
     * @param nowMillis the time in milliseconds
     * @return the health state of each server by name, in the order in which the servers were added
     */
    public Map<String, ServerHealth> evaluate(long nowMillis) {
        return evaluate(false, nowMillis);
    }

    /**
     * Updates the health states of all servers from the evidence recorded so far.
     *
     * @param capacityNeeded whether the servers in use cannot carry the load, so that others are tried sooner
     * @param nowMillis the time in milliseconds
     * @return the health state of each server by name, in the order in which the servers were added
     */
    public Map<String, ServerHealth> evaluate(boolean capacityNeeded, long nowMillis) {
        List<ServerEvidence> healthyEvidence = new ArrayList<>();
        for (TrackedServer server : servers.values()) {
            advanceServer(server, capacityNeeded, nowMillis);
            if (server.ejectionState.health() == ServerHealth.HEALTHY) {
                healthyEvidence.add(server.evidence);
            }
        }
        boolean[] isOutlier = detector.findOutliers(healthyEvidence, nowMillis);
        List<EjectionPolicy.Candidate> candidates = new ArrayList<>();
        int healthyIndex = 0;
        for (TrackedServer server : servers.values()) {
            boolean isHealthy = server.ejectionState.health() == ServerHealth.HEALTHY;
            candidates.add(server.toCandidate(isHealthy && isOutlier[healthyIndex]));
            healthyIndex += isHealthy ? 1 : 0;
        }
        applyDecision(EjectionPolicy.decide(candidates, floor), nowMillis);
        Map<String, ServerHealth> healthByName = LinkedHashMap.newLinkedHashMap(servers.size());
        servers.forEach((name, server) -> healthByName.put(name, server.ejectionState.health()));
        excludeSuspects(healthByName, capacityNeeded, nowMillis);
        return healthByName;
    }

    /**
     * Returns why a server is not healthy.
     *
     * @param serverName the name of the server
     * @return the cause, empty for a server that is healthy, not known, or kept in use by the floor only
     */
    public Optional<ExclusionCause> exclusionCause(String serverName) {
        TrackedServer server = servers.get(Objects.requireNonNull(serverName, "serverName"));
        if (server == null) {
            return Optional.empty();
        }
        if (server.ejectionState.health() != ServerHealth.HEALTHY) {
            return Optional.of(ExclusionCause.OUTLIER);
        }
        return server.isExcludedAsSuspect ? Optional.of(ExclusionCause.SUSPICION) : Optional.empty();
    }

    /** Excludes suspect servers as far as the floor allows, those with the latest failures first. */
    private void excludeSuspects(Map<String, ServerHealth> healthByName, boolean capacityNeeded, long nowMillis) {
        List<TrackedServer> suspects = new ArrayList<>();
        int usableCount = 0;
        double medianUnansweredScore = medianUnansweredScore(nowMillis);
        for (TrackedServer server : servers.values()) {
            server.suspicion.ifPresent(
                    suspicion -> suspicion.advance(capacityNeeded, medianUnansweredScore, nowMillis));
            server.isExcludedAsSuspect = false;
            boolean isUsable = server.ejectionState.health() == ServerHealth.HEALTHY && !server.description.leaving();
            usableCount += isUsable ? 1 : 0;
            if (isUsable
                    && server.suspicion.isPresent()
                    && server.suspicion.get().health() != ServerHealth.HEALTHY) {
                suspects.add(server);
            }
        }
        suspects.sort(Comparator.comparingLong(
                        (TrackedServer server) -> server.suspicion.orElseThrow().stateStartMillis())
                .reversed());
        for (TrackedServer server : suspects.subList(0, Math.clamp(usableCount - floor, 0, suspects.size()))) {
            server.isExcludedAsSuspect = true;
            healthByName.put(
                    server.description.name(), server.suspicion.orElseThrow().health());
        }
    }

    private double medianUnansweredScore(long nowMillis) {
        double[] scores = servers.values().stream()
                .filter(server -> !server.description.leaving())
                .flatMap(server -> server.suspicion.stream())
                .mapToDouble(suspicion -> {
                    if (nowMillis - observedMillis > MAXIMUM_OBSERVATION_GAP_MILLIS) {
                        suspicion.forgetInFlight();
                    }
                    return suspicion.unansweredScore();
                })
                .sorted()
                .toArray();
        return scores.length == 0 ? 0 : scores[(scores.length - 1) / 2];
    }

    private void advanceServer(TrackedServer server, boolean capacityNeeded, long nowMillis) {
        ServerHealth previousHealth = server.ejectionState.health();
        if (previousHealth != ServerHealth.EJECTED) {
            detector.recordSilence(server.evidence, evidenceScope(server, nowMillis), servers.size(), nowMillis);
        }
        server.ejectionState.advance(capacityNeeded, nowMillis);
        if (previousHealth == ServerHealth.PROBATION && server.ejectionState.health() == ServerHealth.HEALTHY) {
            server.evidence.resetTests();
        }
    }

    private void applyDecision(EjectionPolicy.Decision decision, long nowMillis) {
        for (String name : decision.serversToReadmit()) {
            TrackedServer server = servers.get(name);
            server.ejectionState.readmit(nowMillis);
            server.evidence.resetTests();
        }
        for (String name : decision.serversToEject()) {
            TrackedServer server = servers.get(name);
            server.ejectionState.eject(nowMillis);
            detector.removeServer(server.evidence.serverIndex());
        }
        if (!decision.serversToEject().isEmpty()) {
            servers.values().forEach(server -> server.evidence.restartErrorComparison());
        }
    }

    private OutlierDetector.EvidenceScope evidenceScope(TrackedServer server, long nowMillis) {
        boolean isWarm = server.description.warm() && nowMillis >= server.coldUntilMillis;
        return new OutlierDetector.EvidenceScope(
                isWarm && server.ejectionState.health() == ServerHealth.HEALTHY, isWarm);
    }

    private TrackedServer createServer(MonitoredServer description, long nowMillis) {
        int index = usedIndexes.nextClearBit(0);
        usedIndexes.set(index);
        TrackedServer server = new TrackedServer();
        server.description = description;
        server.evidence = detector.createEvidence(index);
        server.ejectionState = new EjectionState(settings, nowMillis);
        server.suspicion = settings.suspicion().map(suspicionSettings -> new Suspicion(suspicionSettings, nowMillis));
        server.coldUntilMillis = hadServers ? nowMillis + settings.coldGraceMillis() : nowMillis;
        return server;
    }

    /** A server of the shard with its evidence and health state. */
    private static final class TrackedServer {
        private MonitoredServer description;
        private ServerEvidence evidence;
        private EjectionState ejectionState;
        private Optional<Suspicion> suspicion = Optional.empty();
        private boolean isExcludedAsSuspect;
        private long coldUntilMillis;

        private EjectionPolicy.Candidate toCandidate(boolean isOutlier) {
            return new EjectionPolicy.Candidate(
                    description.name(),
                    ejectionState.health(),
                    description.leaving(),
                    description.warm(),
                    isOutlier,
                    evidence.severity());
        }
    }
}
