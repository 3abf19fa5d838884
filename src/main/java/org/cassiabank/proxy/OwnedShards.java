package org.cassiabank.proxy;

import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.cassiabank.admission.AdmissionRequest;
import org.cassiabank.admission.SlotDecision;
import org.cassiabank.health.AttemptOutcome;
import org.cassiabank.health.ServerHealth;
import org.cassiabank.kernel.Kernel;
import org.cassiabank.kernel.KernelService;
import org.cassiabank.membership.InstanceRole;

/**
 * The shards that this daemon schedules. A shard is taken on by the first request for one of its slots, because the
 * entry that asks may know better than a lagging list who the owner is.
 */
final class OwnedShards implements KernelService {
    /** While something is queued or running: decisions wait at most this long. */
    private static final long BUSY_TICK_MILLIS = 20;

    /** Without any work only hold-offs pass, which last for seconds. */
    private static final long IDLE_TICK_MILLIS = 200;

    private static final long IDLE_MILLIS = 60_000;

    private final Map<ShardKey, OwnedShard> shards = new ConcurrentHashMap<>();
    private final OwnerSettings settings;
    private final FleetState fleet;
    private final ProxyMetrics metrics;
    private final ScheduledExecutorService ticker = Executors.newSingleThreadScheduledExecutor(
            Thread.ofPlatform().name("shard-ticker").daemon().factory());

    private OwnedShards(OwnerSettings settings, FleetState fleet, ProxyMetrics metrics) {
        this.settings = settings;
        this.fleet = fleet;
        this.metrics = metrics;
    }

    static OwnedShards create(OwnerSettings settings, FleetState fleet, ProxyMetrics metrics) {
        return new OwnedShards(
                Objects.requireNonNull(settings, "settings"),
                Objects.requireNonNull(fleet, "fleet"),
                Objects.requireNonNull(metrics, "metrics"));
    }

    @Override
    public void start(Kernel kernel) {
        fleet.onChange(this::updateShards);
        ticker.schedule(this::tickAndRepeat, IDLE_TICK_MILLIS, TimeUnit.MILLISECONDS);
        metrics.gauge("cassiabank_owned_shards", "Shards scheduled by this daemon.", shards::size);
    }

    @Override
    public void stop() {
        ticker.shutdown();
    }

    SlotDecision acquire(ShardKey key, AdmissionRequest request, long ticket) {
        return shards.computeIfAbsent(
                        key,
                        missing -> OwnedShard.create(missing, settings, metrics, fleet.view(), MonotonicClock.millis()))
                .acquire(request, ticket);
    }

    void completeLease(ShardKey key, long lease, AttemptOutcome outcome, long latencyMicros, boolean serverLeaving) {
        OwnedShard shard = shards.get(key);
        if (shard != null) {
            shard.completeLease(lease, outcome, latencyMicros, serverLeaving);
        }
    }

    /**
     * Returns the health of the servers of all shards that this daemon schedules.
     *
     * @return health by server by shard, in the order of the shards' names
     */
    Map<String, Map<String, ServerHealth>> serverHealthByShard() {
        Map<String, Map<String, ServerHealth>> healths = new TreeMap<>();
        shards.forEach((key, shard) -> healths.put(key.toString(), shard.healths()));
        return healths;
    }

    private void updateShards(FleetView former, FleetView view) {
        long now = MonotonicClock.millis();
        shards.values().forEach(shard -> shard.updateView(view, now));
        view.instances().forEachDifference(former.instances(), (name, before, after) -> {
            if (after == null && before.role() == InstanceRole.PROXY) {
                shards.values().forEach(shard -> shard.removeEntryProxy(name));
            }
        });
    }

    private void tickAndRepeat() {
        PeriodicTasks.guarded("shards", this::tick).run();
        boolean isBusy = shards.values().stream().anyMatch(OwnedShard::isBusy);
        if (!ticker.isShutdown()) {
            ticker.schedule(this::tickAndRepeat, isBusy ? BUSY_TICK_MILLIS : IDLE_TICK_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void tick() {
        long now = MonotonicClock.millis();
        shards.values().forEach(shard -> shard.tick(now));
        shards.values().removeIf(shard -> shard.isIdleSince(now - IDLE_MILLIS));
    }
}
