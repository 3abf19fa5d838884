package org.cassiabank.proxy;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.cassiabank.admission.AdmissionRequest;
import org.cassiabank.admission.MessageBytes;
import org.cassiabank.admission.ServerNotice;
import org.cassiabank.admission.ServerRateLimit;
import org.cassiabank.admission.ShardOccupancy;
import org.cassiabank.admission.SlotDecision;
import org.cassiabank.health.AttemptOutcome;
import org.cassiabank.health.RequestDigest;
import org.cassiabank.health.ServerHealth;
import org.cassiabank.kernel.BackgroundTasks;
import org.cassiabank.kernel.Kernel;
import org.cassiabank.kernel.KernelService;
import org.cassiabank.membership.InstanceRole;

/**
 * The shards that this daemon schedules. A shard is created by the first request for one of its slots, whoever owns it
 * according to this daemon's instance list: the list of the requesting entry proxy may be newer.
 */
final class OwnedShards implements KernelService {
    /** Applies while a shard has queued or running requests; the longest delay of a decision that depends on time. */
    private static final long BUSY_TICK_INTERVAL_MILLIS = 20;

    /** Entry proxies give up on an owner that does not answer for this long. */
    private static final long LATE_TICK_MILLIS = 250;

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int LOG_INTERVAL_SECONDS = 1;

    /** Applies while all shards are idle: only hold-offs of ejected servers expire then, and they last for seconds. */
    private static final long IDLE_TICK_INTERVAL_MILLIS = 200;

    /** A shard on which nothing is queued or running is removed this long after its last request. */
    private static final long SHARD_IDLE_TIMEOUT_MILLIS = 60_000;

    private final Map<ShardKey, OwnedShard> shards = new ConcurrentHashMap<>();
    private final OwnerSettings settings;
    private final FleetState fleet;
    private final FatalRequestExchange fatalRequests;
    private final KnownLeavingServers leavingServers;
    private final ProxyMetrics metrics;
    private final QuotaGate quotas;
    private final ScheduledExecutorService tickExecutor = Executors.newSingleThreadScheduledExecutor(
            Thread.ofPlatform().name("shard-ticker").daemon().factory());

    private OwnedShards(
            OwnerSettings settings,
            FleetState fleet,
            FatalRequestExchange fatalRequests,
            KnownLeavingServers leavingServers,
            ProxyMetrics metrics,
            QuotaGate quotas) {
        this.settings = settings;
        this.fleet = fleet;
        this.fatalRequests = fatalRequests;
        this.leavingServers = leavingServers;
        this.metrics = metrics;
        this.quotas = quotas;
    }

    static OwnedShards create(
            OwnerSettings settings,
            FleetState fleet,
            FatalRequestExchange fatalRequests,
            KnownLeavingServers leavingServers,
            ProxyMetrics metrics) {
        return create(settings, fleet, fatalRequests, leavingServers, metrics, QuotaGate.unlimited());
    }

    static OwnedShards create(
            OwnerSettings settings,
            FleetState fleet,
            FatalRequestExchange fatalRequests,
            KnownLeavingServers leavingServers,
            ProxyMetrics metrics,
            QuotaGate quotas) {
        return new OwnedShards(
                Objects.requireNonNull(settings, "settings"),
                Objects.requireNonNull(fleet, "fleet"),
                Objects.requireNonNull(fatalRequests, "fatalRequests"),
                Objects.requireNonNull(leavingServers, "leavingServers"),
                Objects.requireNonNull(metrics, "metrics"),
                Objects.requireNonNull(quotas, "quotas"));
    }

    @Override
    public void start(Kernel kernel) {
        fleet.addListener(this::updateShards);
        scheduleTick(IDLE_TICK_INTERVAL_MILLIS);
        metrics.registerGauge("cassiabank_owned_shards", "Shards scheduled by this daemon.", shards::size);
        metrics.registerGauge(
                "cassiabank_rate_limited_servers",
                "Servers of shards scheduled by this daemon that name a limit of requests a second.",
                () -> shards.values().stream()
                        .mapToInt(OwnedShard::rateLimitCount)
                        .sum());
    }

    @Override
    public void stop() {
        tickExecutor.shutdown();
    }

    /**
     * Requests a slot as {@link OwnedShard#acquire} does.
     *
     * @param key the shard, which is created if it does not exist
     * @param request the request
     * @param ticketId the ticket of an earlier decision, 0 for a new request
     * @param rateLimits the limits of servers that the entry proxy knows
     * @return the decision
     */
    SlotDecision acquire(ShardKey key, AdmissionRequest request, long ticketId, List<ServerRateLimit> rateLimits) {
        while (true) {
            OwnedShard shard = shards.computeIfAbsent(key, this::createShard);
            shard.mergeRateLimits(rateLimits);
            Optional<SlotDecision> decision = shard.acquire(request, ticketId);
            if (decision.isPresent()) {
                return decision.get();
            }
            shards.remove(key, shard);
        }
    }

    /**
     * Records the bytes of the messages of an attempt for its route; does nothing if the lease is not known. Has to
     * precede the release of the lease.
     *
     * @param key the shard
     * @param leaseId the identifier of the lease
     * @param bytes the bytes
     */
    void recordMessageBytes(ShardKey key, long leaseId, MessageBytes bytes) {
        OwnedShard shard = shards.get(key);
        if (shard != null) {
            shard.recordMessageBytes(leaseId, bytes);
        }
    }

    /**
     * Releases a lease with the outcome of its attempt. A broken connection counts against the request even if the
     * lease is not known, because this daemon has taken over the shard or has restarted since the grant.
     *
     * @param key the shard
     * @param leaseId the identifier of the lease
     * @param outcome the outcome
     * @param latencyMicros the duration of the attempt in microseconds
     * @param notice what the response said about the server
     * @param server the name of the server, empty if the connection did not break
     * @param digest identifies the request, none if the connection did not break
     */
    void completeLease(
            ShardKey key,
            long leaseId,
            AttemptOutcome outcome,
            long latencyMicros,
            ServerNotice notice,
            String server,
            RequestDigest digest) {
        OwnedShard shard = shards.get(key);
        boolean known = shard != null && shard.completeLease(leaseId, outcome, latencyMicros, notice);
        if (!known && outcome == AttemptOutcome.BROKEN) {
            fatalRequests.recordCrash(digest, key, server, fleet.view().incarnation(server));
        }
    }

    /**
     * Returns how busy a shard is, for the choice between the shards of its service.
     *
     * @param key the shard
     * @return its load; empty if it is the only shard of its service, or if this daemon does not schedule it
     */
    Optional<ShardOccupancy> occupancyBesideOthers(ShardKey key) {
        return fleet.view().shardCount(key.service()) == 1
                ? Optional.empty()
                : Optional.ofNullable(shards.get(key)).map(shard -> ShardOccupancy.of(shard.load()));
    }

    private OwnedShard createShard(ShardKey key) {
        fatalRequests.fetchSuspects(key);
        return OwnedShard.create(
                key, settings, fatalRequests, leavingServers, metrics, quotas, fleet.view(), MonotonicClock.millis());
    }

    /** Applies what has become known of the servers of a shard; does nothing if this daemon does not schedule it. */
    void updateServers(ShardKey key) {
        OwnedShard shard = shards.get(key);
        if (shard != null) {
            shard.updateServers();
        }
    }

    /**
     * Returns the health of the servers of all shards that this daemon schedules.
     *
     * @return the health by server name, by shard name in alphabetical order
     */
    Map<String, Map<String, ServerHealth>> serverHealthByShard() {
        Map<String, Map<String, ServerHealth>> healthByShard = new TreeMap<>();
        shards.forEach((key, shard) -> healthByShard.put(key.toString(), shard.healthByServer()));
        return healthByShard;
    }

    private void updateShards(FleetView formerView, FleetView newView) {
        long nowMillis = MonotonicClock.millis();
        shards.values().forEach(shard -> shard.updateView(newView, nowMillis));
        newView.instances().forEachDifference(formerView.instances(), (instanceName, before, after) -> {
            if (after == null && before.role() == InstanceRole.PROXY) {
                removeAfterDeparture(instanceName);
            }
        });
    }

    /** A stopping entry proxy first ends its registration and then serves the requests that it has. */
    private void removeAfterDeparture(String entryProxyName) {
        if (tickExecutor.isShutdown()) {
            return;
        }
        tickExecutor.schedule(
                () -> {
                    if (fleet.view().instances().find(entryProxyName).isEmpty()) {
                        shards.values().forEach(shard -> shard.removeEntryProxy(entryProxyName));
                    }
                },
                settings.departureMillis(),
                TimeUnit.MILLISECONDS);
    }

    private void tickAndReschedule(long dueMillis) {
        reportIfLate(dueMillis);
        long intervalMillis = BUSY_TICK_INTERVAL_MILLIS;
        try {
            tick();
            boolean isBusy = shards.values().stream().anyMatch(OwnedShard::isBusy);
            intervalMillis = isBusy ? BUSY_TICK_INTERVAL_MILLIS : IDLE_TICK_INTERVAL_MILLIS;
        } catch (RuntimeException | Error failure) {
            BackgroundTasks.recordFailure("shards", failure);
        }
        if (!tickExecutor.isShutdown()) {
            scheduleTick(intervalMillis);
        }
    }

    private void scheduleTick(long delayMillis) {
        long dueMillis = MonotonicClock.millis() + delayMillis;
        tickExecutor.schedule(() -> tickAndReschedule(dueMillis), delayMillis, TimeUnit.MILLISECONDS);
    }

    /** Logs and counts a tick that shows that this process was paused or short of processor time. */
    private void reportIfLate(long dueMillis) {
        long lateMillis = MonotonicClock.millis() - dueMillis;
        if (lateMillis >= LATE_TICK_MILLIS) {
            metrics.recordLateTick();
            LOGGER.atWarning().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
                    "this process was paused or short of processor time: a periodic task ran %d ms late", lateMillis);
        }
    }

    private void tick() {
        long nowMillis = MonotonicClock.millis();
        shards.values().forEach(shard -> shard.tick(nowMillis));
        shards.values().removeIf(shard -> shard.retireIfIdleSince(nowMillis - SHARD_IDLE_TIMEOUT_MILLIS));
    }
}
