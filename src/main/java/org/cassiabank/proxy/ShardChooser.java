package org.cassiabank.proxy;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import org.cassiabank.admission.AdmissionRequest;
import org.cassiabank.admission.ShardCandidate;
import org.cassiabank.admission.ShardOccupancy;
import org.cassiabank.admission.ShardSelector;
import org.cassiabank.declaration.LabeledServer;

/**
 * Chooses the shards that this entry proxy asks for slots of services with several shards, and keeps what their owners
 * stated of their load. Thread-safe.
 */
final class ShardChooser {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Limits the work for a log line that is needed only when the state changes. */
    private static final long FULL_CHECK_INTERVAL_MILLIS = 200;

    /** The servers of a failure domain are reported as full from this share of their slots on. */
    private static final double FULL_SHARE = 0.95;

    /** They are reported as having room again below this share. */
    private static final double ROOM_SHARE = 0.7;

    private final FailureDomain ownDomain;
    private final ProxyMetrics metrics;
    private final Map<String, ServiceShards> shardsByService = new ConcurrentHashMap<>();

    private ShardChooser(FailureDomain ownDomain, ProxyMetrics metrics) {
        this.ownDomain = ownDomain;
        this.metrics = metrics;
    }

    static ShardChooser create(FailureDomain ownDomain, ProxyMetrics metrics) {
        return new ShardChooser(
                Objects.requireNonNull(ownDomain, "ownDomain"), Objects.requireNonNull(metrics, "metrics"));
    }

    /**
     * Chooses the shard that is asked first.
     *
     * @param service the name of the service
     * @param division its shards
     * @param request the request
     * @return the shard
     */
    ShardKey choose(String service, ShardDivision division, AdmissionRequest request) {
        List<ShardCandidate> candidates = candidates(division, request);
        long nowMillis = MonotonicClock.millis();
        ServiceShards shards = shardsByService.computeIfAbsent(service, key -> new ServiceShards());
        int number;
        synchronized (shards) {
            number = shards.selector.choose(candidates, ownDomain.toString(), ThreadLocalRandom.current(), nowMillis);
            reportDivision(service, shards, division);
            reportRoom(service, shards, division.candidates(), nowMillis);
        }
        metrics.recordShardChoice(division.failureDomain(number)
                .map(domain -> domain.equals(ownDomain) ? "own" : "other")
                .orElse("none"));
        return new ShardKey(service, number);
    }

    /**
     * Chooses the shard that is asked after another one has refused.
     *
     * @param refused the shard that has refused
     * @param division the shards of its service
     * @param request the request
     * @return the number of another shard, or empty if no other one can run the request
     */
    OptionalInt chooseAfterRefusal(ShardKey refused, ShardDivision division, AdmissionRequest request) {
        List<ShardCandidate> candidates = candidates(division, request);
        ServiceShards shards = shardsByService.computeIfAbsent(refused.service(), key -> new ServiceShards());
        synchronized (shards) {
            return shards.selector.chooseAfterRefusal(
                    candidates, Set.of(refused.number()), ThreadLocalRandom.current(), MonotonicClock.millis());
        }
    }

    /** Records that a request for a slot is sent; does nothing for the only shard of a service. */
    void recordRequest(ShardKey shard) {
        update(shard, selector -> selector.recordRequest(shard.number()));
    }

    /** Records the first reply to a request for a slot, or that there was none. */
    void recordDecision(ShardKey shard) {
        update(shard, selector -> selector.recordDecision(shard.number()));
    }

    /** Records what an owner stated of the load of its shard. */
    void recordOccupancy(ShardKey shard, ShardOccupancy occupancy) {
        update(shard, selector -> selector.recordOccupancy(shard.number(), occupancy, MonotonicClock.millis()));
    }

    /** Tells whether an owner of a shard has stated its load, so that it is of a release that knows the division. */
    boolean hasOccupancy(ShardKey shard) {
        ServiceShards shards = shardsByService.get(shard.service());
        if (shards == null) {
            return false;
        }
        synchronized (shards) {
            return shards.selector.hasOccupancy(shard.number());
        }
    }

    private void update(ShardKey shard, Consumer<ShardSelector> change) {
        ServiceShards shards = shardsByService.get(shard.service());
        if (shards != null) {
            synchronized (shards) {
                change.accept(shards.selector);
            }
        }
    }

    /** Returns the shards with a server that can run the request; all of them if there is none, so that one refuses. */
    private static List<ShardCandidate> candidates(ShardDivision division, AdmissionRequest request) {
        if (request.requiredLabels().isEmpty() && request.excludedServers().isEmpty()) {
            return division.candidates();
        }
        List<ShardCandidate> usable = division.candidates().stream()
                .map(candidate -> new ShardCandidate(
                        candidate.number(),
                        candidate.failureDomain(),
                        usableServers(division.servers(candidate.number()), request)))
                .filter(candidate -> candidate.servers() > 0)
                .toList();
        return usable.isEmpty() ? division.candidates() : usable;
    }

    private static int usableServers(List<LabeledServer> servers, AdmissionRequest request) {
        return (int) servers.stream()
                .filter(server -> server.hasLabels(request.requiredLabels())
                        && !request.excludedServers().contains(server.instance().name()))
                .count();
    }

    private static void reportDivision(String service, ServiceShards shards, ShardDivision division) {
        int count = division.shards().size();
        if (count != shards.count || division.isByFailureDomain() != shards.byFailureDomain) {
            shards.count = count;
            shards.byFailureDomain = division.isByFailureDomain();
            LOGGER.atInfo().log(
                    "service %s has %d shards, divided by %s",
                    service, count, shards.byFailureDomain ? "failure domain" : "hash");
        }
    }

    private void reportRoom(String service, ServiceShards shards, List<ShardCandidate> candidates, long nowMillis) {
        if (nowMillis < shards.nextFullCheckMillis) {
            return;
        }
        shards.nextFullCheckMillis = nowMillis + FULL_CHECK_INTERVAL_MILLIS;
        double load = shards.selector.relativeLoad(candidates, ownDomain.toString(), nowMillis);
        if (!shards.full && load >= FULL_SHARE) {
            shards.full = true;
            metrics.recordFullDomain(service);
            LOGGER.atInfo().log(
                    "service %s: the servers of this failure domain are full (load %.2f); others with room are used",
                    service, load);
        } else if (shards.full && load < ROOM_SHARE) {
            shards.full = false;
            LOGGER.atInfo().log(
                    "service %s: the servers of this failure domain have room again (load %.2f)", service, load);
        }
    }

    /** The shards of a service, guarded by the object itself. */
    private static final class ServiceShards {
        private final ShardSelector selector = ShardSelector.create();
        private int count;
        private boolean byFailureDomain;
        private boolean full;
        private long nextFullCheckMillis;
    }
}
