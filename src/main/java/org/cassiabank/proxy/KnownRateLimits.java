package org.cassiabank.proxy;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.cassiabank.admission.RateLimitNotice;
import org.cassiabank.admission.RateLimitShare;
import org.cassiabank.admission.ServerRateLimit;
import org.cassiabank.admission.ServerRateLimits;
import org.cassiabank.membership.Instance;

/**
 * The limits that backend servers named in responses to this entry proxy. They are passed on to each owner with
 * requests for slots, so that a new owner of a shard knows them before it grants the first slot. Thread-safe.
 */
final class KnownRateLimits {
    /** An owner is told again after this time, because it may have restarted in the meantime. */
    private static final long REPEAT_INTERVAL_MILLIS = 500;

    private final ServerRateLimits limits = ServerRateLimits.create();
    private final Map<String, Long> toldMillisByOwnerAndShard = new HashMap<>();

    private KnownRateLimits() {}

    static KnownRateLimits create() {
        return new KnownRateLimits();
    }

    /** Records what an attempt, which ends now, showed about the limit of its server. */
    synchronized void record(String server, RateLimitNotice notice, long latencyMicros) {
        long nowMillis = MonotonicClock.millis();
        limits.record(server, notice, nowMillis - latencyMicros / 1_000, nowMillis);
    }

    /** Forgets the servers that left or restarted between two views. */
    synchronized void update(FleetView formerView, FleetView newView) {
        if (limits.all(MonotonicClock.millis()).isEmpty()) {
            return;
        }
        newView.instances().forEachDifference(formerView.instances(), (name, before, after) -> {
            if (after == null || before != null && before.incarnation() != after.incarnation()) {
                limits.forget(Set.of(name));
            }
        });
    }

    /** Returns the limits of servers of a shard unless its owner was told recently, and records that it is told now. */
    synchronized List<ServerRateLimit> takeNews(String ownerName, ShardKey shard, FleetView view) {
        long nowMillis = MonotonicClock.millis();
        Collection<ServerRateLimit> all = limits.all(nowMillis);
        String key = ownerName + "/" + shard;
        if (all.isEmpty()
                || nowMillis - toldMillisByOwnerAndShard.getOrDefault(key, Long.MIN_VALUE / 2)
                        < REPEAT_INTERVAL_MILLIS) {
            return List.of();
        }
        Set<String> shardServers = view.servers(shard).stream()
                .map(server -> server.instance().name())
                .collect(Collectors.toSet());
        List<ServerRateLimit> news = all.stream()
                .filter(limit -> shardServers.contains(limit.server()))
                .toList();
        toldMillisByOwnerAndShard.values().removeIf(toldMillis -> nowMillis - toldMillis >= REPEAT_INTERVAL_MILLIS);
        toldMillisByOwnerAndShard.put(key, nowMillis);
        return news;
    }

    /** Returns the limited servers that this proxy must leave to other proxies now, as long as there is no owner. */
    synchronized Set<String> serversOfOtherTurns(String selfName, FleetView view) {
        long nowMillis = MonotonicClock.millis();
        Collection<ServerRateLimit> all = limits.all(nowMillis);
        if (all.isEmpty()) {
            return Set.of();
        }
        List<String> proxies =
                view.liveProxies().stream().map(Instance::name).sorted().toList();
        int position = Math.max(0, proxies.indexOf(selfName));
        return all.stream()
                .filter(limit -> !RateLimitShare.isTurn(
                        limit.requestsPerSecond(), position, Math.max(1, proxies.size()), nowMillis))
                .map(ServerRateLimit::server)
                .collect(Collectors.toUnmodifiableSet());
    }
}
