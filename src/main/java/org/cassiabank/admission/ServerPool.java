package org.cassiabank.admission;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.cassiabank.health.AttemptOutcome;

/**
 * The backend servers of a shard and the rules that choose one of them for a request.
 */
final class ServerPool {
    /**
     * The minimum interval between repeatable requests that prefer a server on probation. It limits the requests that
     * fail at a server that fails fast; five responses take half a second.
     */
    private static final long PROBATION_INTERVAL_MILLIS = 100;

    private final long unrepeatableProbeDelayMillis;
    private final Map<String, ServerState> servers = new LinkedHashMap<>();
    private final SuspectTestBudget testBudget = new SuspectTestBudget();
    private final Map<ServerState, AcceptedShare> acceptedShares = new HashMap<>();
    private ServerState[] presentServers = {};
    private long version;
    private boolean initialized;
    private boolean capacityNeeded;
    private boolean manyUnserved;

    /**
     * Creates a pool without servers.
     *
     * @param unrepeatableProbeDelayMillis the time without a request after which an unrepeatable request may test a
     *     server on probation, in milliseconds; 0 if never
     */
    ServerPool(long unrepeatableProbeDelayMillis) {
        this.unrepeatableProbeDelayMillis = unrepeatableProbeDelayMillis;
    }

    /** Replaces the servers. Those of the first list that is not empty are warm, servers added later start cold. */
    void update(List<SchedulableServer> schedulableServers, long nowMillis) {
        Map<String, ServerState> previousServers = new HashMap<>(servers);
        servers.values().removeIf(server -> server.leases() == 0);
        servers.values().forEach(ServerState::markRemoved);
        List<ServerState> listedServers = new ArrayList<>(schedulableServers.size());
        for (SchedulableServer schedulableServer : schedulableServers) {
            ServerState server = previousServers.get(schedulableServer.name());
            if (server == null || !server.schedulableServer().address().equals(schedulableServer.address())) {
                server = new ServerState(schedulableServer, initialized, nowMillis, this::allHealthyServersBackOff);
            }
            server.update(schedulableServer, nowMillis);
            servers.put(schedulableServer.name(), server);
            listedServers.add(server);
        }
        acceptedShares.keySet().retainAll(listedServers);
        presentServers = listedServers.toArray(ServerState[]::new);
        initialized |= !listedServers.isEmpty();
        version++;
    }

    void setCapacityNeeded(boolean needed, boolean unserved, long nowMillis) {
        manyUnserved = unserved;
        capacityNeeded = needed;
        testBudget.recordNeed(needed, nowMillis);
    }

    private boolean allHealthyServersBackOff(long nowMillis) {
        for (ServerState server : presentServers) {
            if (server.isHealthy() && !server.isBackingOff(nowMillis)) {
                return false;
            }
        }
        return true;
    }

    /** Returns a number that is incremented by each update. */
    long version() {
        return version;
    }

    Optional<ServerState> find(String name) {
        return Optional.ofNullable(servers.get(name));
    }

    ServerState[] presentServers() {
        return presentServers;
    }

    ServerState[] candidates(LaneKey key) {
        if (key.requiredLabels().isEmpty() && key.excludedServers().isEmpty()) {
            return presentServers;
        }
        List<ServerState> result = new ArrayList<>();
        for (ServerState server : presentServers) {
            if (server.hasLabels(key.requiredLabels())
                    && !key.excludedServers()
                            .contains(server.schedulableServer().name())) {
                result.add(server);
            }
        }
        return result.toArray(ServerState[]::new);
    }

    /** Returns why no listed server can run the requests of a lane, or empty if one can once it has a free slot. */
    Optional<RefusalReason> refusalReason(Lane lane) {
        for (ServerState server : lane.candidates(this)) {
            if (server.isActive()) {
                return Optional.empty();
            }
        }
        RefusalReason reason = RefusalReason.NO_SERVER;
        for (ServerState server : presentServers) {
            if (server.hasLabels(lane.key().requiredLabels())) {
                if (server.isActive()) {
                    return Optional.of(RefusalReason.ALL_EXCLUDED);
                }
                reason = RefusalReason.NO_HEALTHY_SERVER;
            }
        }
        return Optional.of(reason);
    }

    /** Returns the server for the first request of a lane of short work, or null if no slot is free. */
    ServerState chooseForShortWork(Lane lane, long nowMillis) {
        ServerState bestHealthy = null;
        PlacementHints hints = lane.firstTicket().request().hints();
        boolean healthyExists = false;
        ServerState failingServerDueForTest = null;
        for (ServerState server : lane.candidates(this)) {
            if (server.isHealthy()) {
                healthyExists = true;
                if (!server.hasFreeSlot(nowMillis)) {
                    continue;
                }
                if (isLimitedToTests(server, lane.candidates(this), nowMillis)) {
                    if (!hints.isAdditionalAttempt()
                            && (lane.key().repeatable() || unrepeatableProbeDelayMillis > 0)
                            && server.isUntestedForLong(lane.key().repeatable(), nowMillis)
                            && (lane.key().repeatable() || allowsUnrepeatableTest(server, nowMillis))) {
                        return server;
                    }
                    if (lane.key().repeatable() && server.isDueForFailingServerTest(nowMillis)) {
                        failingServerDueForTest = server;
                    }
                } else if (bestHealthy == null || server.isBetterThan(bestHealthy, lane.firstTicket(), nowMillis)) {
                    bestHealthy = server;
                }
            }
        }
        ServerState bestOnProbation = chooseForTrial(lane, healthyExists, bestHealthy == null, nowMillis);
        // An idle server on probation is preferred, because it gets no test while the others have free slots otherwise.
        boolean choosesProbation = !healthyExists
                || bestOnProbation != null
                        && !hints.isAdditionalAttempt()
                        && (lane.key().repeatable()
                                ? bestOnProbation.hasNoGrantSince(nowMillis - PROBATION_INTERVAL_MILLIS)
                                : unrepeatableProbeDelayMillis > 0
                                        && bestOnProbation.isUntestedSince(nowMillis - unrepeatableProbeDelayMillis));
        if (choosesProbation) {
            return bestOnProbation;
        }
        return bestHealthy == null ? failingServerDueForTest : bestHealthy;
    }

    /** Returns the server on probation for the first request of a lane, or null if none may be tried with it. */
    private ServerState chooseForTrial(Lane lane, boolean healthyExists, boolean hasToWait, long nowMillis) {
        ServerState best = null;
        for (ServerState server : lane.candidates(this)) {
            if (server.isOnProbation()
                    && server.isFreeForTrial(lane.key().repeatable(), hasToWait, capacityNeeded, nowMillis)
                    && (!healthyExists || lane.key().repeatable() || allowsUnrepeatableTest(server, nowMillis))
                    && (best == null || server.isBetterThan(best, lane.firstTicket(), nowMillis))) {
                best = server;
            }
        }
        return best;
    }

    /** Tells whether an unrepeatable request, which is lost if the server still fails, may test a suspect server. */
    private boolean allowsUnrepeatableTest(ServerState server, long nowMillis) {
        return manyUnserved
                || server.hasAnsweredTrial()
                || testBudget.allowsTest(
                        server.failures().failedUnrepeatableTests(), server.millisSinceLastGrant(nowMillis), nowMillis);
    }

    /** Records a grant to a request, which tests a suspect server or not. */
    void recordGrant(boolean repeatable, boolean suspectTest, long nowMillis) {
        if (!repeatable) {
            testBudget.recordRequest();
            if (suspectTest) {
                testBudget.recordTest(nowMillis);
            }
        }
    }

    /** Records the end of an attempt. */
    void recordOutcome(Lease lease, AttemptOutcome outcome, long nowMillis) {
        if (lease.isSuspectTest() && !lease.request().repeatable()) {
            if (outcome.isEvidenceAgainstServer()) {
                lease.server().failures().recordFailedUnrepeatableTest(nowMillis);
            } else {
                testBudget.recordHarmlessTest();
            }
        }
    }

    /**
     * Tells whether a server gets test requests only. The minimum share of servers that stay in use can keep a failing
     * server healthy. While another server is reliable, the failing one is avoided, because a server that fails fast
     * always has free slots and would attract most of the requests.
     */
    private static boolean isLimitedToTests(ServerState server, ServerState[] servers, long nowMillis) {
        return server.isMostlyFailing(nowMillis)
                && Arrays.stream(servers).anyMatch(other -> other.isReliable(nowMillis));
    }

    /** Tells whether a request of a lane would test a server on probation, or one that is limited to tests. */
    boolean isSuspectTest(ServerState server, Lane lane, long nowMillis) {
        return server.isOnProbation() || isLimitedToTests(server, lane.candidates(this), nowMillis);
    }

    /** Returns the server for the first request of a lane of long work, or null if none has a slot for long work. */
    ServerState chooseForLongWork(Lane lane, boolean prioritized, boolean shortWorkQueued, long nowMillis) {
        ServerState best = null;
        boolean healthyExists = false;
        for (ServerState server : lane.candidates(this)) {
            healthyExists |= server.isHealthy();
        }
        for (ServerState server : lane.candidates(this)) {
            if ((healthyExists ? server.isHealthy() : server.isOnProbation())
                    && server.hasSlotForLongWork(prioritized, shortWorkQueued, nowMillis)
                    && (best == null || server.isBetterThan(best, lane.firstTicket(), nowMillis))) {
                best = server;
            }
        }
        return best;
    }

    /** Tells whether another healthy server that does not mostly fail has a free slot for the requests of a lane. */
    boolean hasOtherFreeSlot(ServerState chosen, Lane lane, long nowMillis) {
        for (ServerState server : lane.candidates(this)) {
            if (server != chosen
                    && server.isHealthy()
                    && !server.isMostlyFailing(nowMillis)
                    && server.hasFreeSlot(nowMillis)) {
                return true;
            }
        }
        return false;
    }

    /** Returns how busy the servers are, with the numbers of leases and of queued requests. */
    ShardLoad load(int leasedSlots, int queuedRequests, long expiredLeases, long nowMillis) {
        return new ShardLoad(
                leasedSlots,
                usableSlots(presentServers, nowMillis),
                count(server -> server.isHealthy() && !server.hasFreeSlot(nowMillis)),
                count(server -> server.isHealthy() && isLimitedToTests(server, presentServers, nowMillis)),
                count(server -> server.isActive() && server.isBackingOff(nowMillis)),
                count(server -> !server.schedulableServer().leaving()
                        && server.hasNoGrantSince(nowMillis - ShardLoad.UNUSED_MILLIS)),
                queuedRequests,
                expiredLeases);
    }

    private int count(Predicate<ServerState> condition) {
        return (int) Arrays.stream(presentServers).filter(condition).count();
    }

    /** Returns the usable slots of the healthy servers, or of those on probation if the healthy ones have none. */
    static int usableSlots(ServerState[] servers, long nowMillis) {
        int healthySlots = 0;
        int probationSlots = 0;
        for (ServerState server : servers) {
            int usableSlots = server.usableSlots(nowMillis);
            if (server.isHealthy()) {
                healthySlots += isLimitedToTests(server, servers, nowMillis) ? 0 : usableSlots;
            } else {
                probationSlots += usableSlots;
            }
        }
        return healthySlots > 0 ? healthySlots : probationSlots;
    }

    /**
     * Returns the capacity in slots for requests of a mean cost. It is less than the usable slots if servers accept
     * fewer requests a second than their slots could run.
     */
    static double usableCapacity(ServerState[] servers, double costMicros, long nowMillis) {
        double healthyCapacity = 0;
        double probationCapacity = 0;
        for (ServerState server : servers) {
            double capacity = server.usableCapacity(costMicros, nowMillis);
            if (server.isHealthy()) {
                healthyCapacity += isLimitedToTests(server, servers, nowMillis) ? 0 : capacity;
            } else {
                probationCapacity += capacity;
            }
        }
        return healthyCapacity > 0 ? healthyCapacity : probationCapacity;
    }

    /**
     * Returns the part of the usable capacity that serves requests: a server counts by the share that it accepts of
     * what it gets. For servers that refuse half of it, the usable slots alone would predict half of the wait.
     */
    double acceptedShare(ServerState[] servers, double costMicros, long nowMillis) {
        double capacity = 0;
        double acceptedCapacity = 0;
        for (ServerState server : servers) {
            double serverCapacity = server.isHealthy() ? server.usableCapacity(costMicros, nowMillis) : 0;
            capacity += serverCapacity;
            acceptedCapacity += serverCapacity * acceptedShareOf(server, nowMillis);
        }
        return capacity > 0 ? acceptedCapacity / capacity : 1;
    }

    private double acceptedShareOf(ServerState server, long nowMillis) {
        AcceptedShare share = acceptedShares.get(server);
        return share == null ? 1 : share.share(nowMillis);
    }

    /** Records whether a server refused a request because of its load; other outcomes say nothing about that. */
    void recordAcceptance(ServerState server, AttemptOutcome outcome, long nowMillis) {
        if (outcome == AttemptOutcome.NOT_RUN) {
            acceptedShares
                    .computeIfAbsent(server, refusing -> new AcceptedShare())
                    .record(false, nowMillis);
        } else if (outcome == AttemptOutcome.ANSWERED && acceptedShares.containsKey(server)) {
            acceptedShares.get(server).record(true, nowMillis);
        }
    }

    static int longWorkLeases(ServerState[] servers) {
        int count = 0;
        for (ServerState server : servers) {
            count += server.isActive() ? server.longWorkLeases() : 0;
        }
        return count;
    }
}
