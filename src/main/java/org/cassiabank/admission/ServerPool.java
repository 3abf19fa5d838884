package org.cassiabank.admission;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The backend servers of a shard and the choice between them.
 */
final class ServerPool {
    /** Limits how much work a server on probation can fail when it fails fast; five responses take half a second. */
    private static final long PROBATION_INTERVAL_MILLIS = 100;

    private final long unrepeatableProbeDelayMillis;
    private final Map<String, ServerState> servers = new LinkedHashMap<>();
    private ServerState[] present = {};
    private long version;
    private boolean started;

    /**
     * Creates a pool without servers.
     *
     * @param unrepeatableProbeDelayMillis after how long without repeatable work an unrepeatable request tests a
     *     server, in milliseconds; 0 if never
     */
    ServerPool(long unrepeatableProbeDelayMillis) {
        this.unrepeatableProbeDelayMillis = unrepeatableProbeDelayMillis;
    }

    /** Replaces the servers. Those of the first list that is not empty are warm, others start cold. */
    void update(List<SchedulableServer> schedulableServers, long nowMillis) {
        Map<String, ServerState> known = new HashMap<>(servers);
        servers.values().removeIf(server -> server.leases() == 0);
        servers.values().forEach(ServerState::remove);
        List<ServerState> listed = new ArrayList<>(schedulableServers.size());
        for (SchedulableServer schedulableServer : schedulableServers) {
            ServerState server = known.get(schedulableServer.name());
            if (server == null || !server.schedulableServer().address().equals(schedulableServer.address())) {
                server = new ServerState(schedulableServer, started, nowMillis);
            }
            server.update(schedulableServer, nowMillis);
            servers.put(schedulableServer.name(), server);
            listed.add(server);
        }
        present = listed.toArray(ServerState[]::new);
        started |= !listed.isEmpty();
        version++;
    }

    /** Returns a number that changes with each update. */
    long version() {
        return version;
    }

    Optional<ServerState> find(String name) {
        return Optional.ofNullable(servers.get(name));
    }

    ServerState[] present() {
        return present;
    }

    ServerState[] matching(LaneKey key) {
        if (key.labels().isEmpty() && key.excluded().isEmpty()) {
            return present;
        }
        List<ServerState> result = new ArrayList<>();
        for (ServerState server : present) {
            if (server.carries(key.labels())
                    && !key.excluded().contains(server.schedulableServer().name())) {
                result.add(server);
            }
        }
        return result.toArray(ServerState[]::new);
    }

    /** Returns why no server can take a request however long it waits, or empty if one can. */
    Optional<RefusalReason> refusal(Lane lane) {
        for (ServerState server : lane.candidates(this)) {
            if (server.isActive()) {
                return Optional.empty();
            }
        }
        RefusalReason reason = RefusalReason.NO_SERVER;
        for (ServerState server : present) {
            if (server.carries(lane.key().labels())) {
                if (server.isActive()) {
                    return Optional.of(RefusalReason.ALL_EXCLUDED);
                }
                reason = RefusalReason.NO_HEALTHY_SERVER;
            }
        }
        return Optional.of(reason);
    }

    /** Chooses a server for short work, or returns null if no slot is free. */
    ServerState chooseForShort(Lane lane, long nowMillis) {
        ServerState best = null;
        ServerState probation = null;
        PlacementHints hints = lane.first().request().hints();
        boolean healthyExists = false;
        ServerState test = null;
        for (ServerState server : lane.candidates(this)) {
            if (server.isHealthy()) {
                healthyExists = true;
                if (server.leases() >= server.usableSlots(nowMillis)) {
                    continue;
                }
                if (isSpared(server, lane.candidates(this), nowMillis)) {
                    if (lane.key().repeatable() && server.isDueForTest(nowMillis)) {
                        test = server;
                    }
                } else if (best == null || server.isBetterThan(best, hints, nowMillis)) {
                    best = server;
                }
            } else if (server.isOnProbation()
                    && server.leases() < server.usableSlots(nowMillis)
                    && (probation == null || server.isBetterThan(probation, hints, nowMillis))) {
                probation = server;
            }
        }
        // An idle server on probation goes first, because otherwise it proves nothing while the others have free slots.
        boolean takesProbation = !healthyExists
                || probation != null
                        && !hints.isAdditionalAttempt()
                        && (lane.key().repeatable()
                                ? probation.isWithoutGrantSince(nowMillis - PROBATION_INTERVAL_MILLIS)
                                : unrepeatableProbeDelayMillis > 0
                                        && probation.isUntestedSince(nowMillis - unrepeatableProbeDelayMillis));
        if (takesProbation) {
            return probation;
        }
        return best == null ? test : best;
    }

    /**
     * Tells whether a server gets only tests. The floor may keep one in use that fails; while another does the work
     * that it gets, the failing one is spared, because it always has free slots and would draw most of the work.
     */
    private static boolean isSpared(ServerState server, ServerState[] servers, long nowMillis) {
        return server.mostlyFails(nowMillis) && Arrays.stream(servers).anyMatch(other -> other.isSound(nowMillis));
    }

    /** Chooses a server for long work, or returns null if no server may take it now. */
    ServerState chooseForLong(Lane lane, boolean urgent, boolean shortWaits, long nowMillis) {
        PlacementHints hints = lane.first().request().hints();
        ServerState best = null;
        boolean healthyExists = false;
        for (ServerState server : lane.candidates(this)) {
            healthyExists |= server.isHealthy();
        }
        for (ServerState server : lane.candidates(this)) {
            if ((healthyExists ? server.isHealthy() : server.isOnProbation())
                    && server.hasRoomForLong(urgent, shortWaits, nowMillis)
                    && (best == null || server.isBetterThan(best, hints, nowMillis))) {
                best = server;
            }
        }
        return best;
    }

    /** Tells whether another healthy server than the one chosen has a free slot for the request. */
    boolean hasFreeSlotBeside(ServerState chosen, Lane lane, long nowMillis) {
        for (ServerState server : lane.candidates(this)) {
            if (server != chosen
                    && server.isHealthy()
                    && !server.mostlyFails(nowMillis)
                    && server.leases() < server.usableSlots(nowMillis)) {
                return true;
            }
        }
        return false;
    }

    static int usableSlots(ServerState[] servers, long nowMillis) {
        int healthySlots = 0;
        int probationSlots = 0;
        for (ServerState server : servers) {
            int usable = server.usableSlots(nowMillis);
            if (server.isHealthy()) {
                healthySlots += isSpared(server, servers, nowMillis) ? 0 : usable;
            } else {
                probationSlots += usable;
            }
        }
        return healthySlots > 0 ? healthySlots : probationSlots;
    }

    static int longLeases(ServerState[] servers) {
        int count = 0;
        for (ServerState server : servers) {
            count += server.isActive() ? server.longLeases() : 0;
        }
        return count;
    }
}
