package org.cassiabank.proxy;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.cassiabank.admission.AdmissionRequest;
import org.cassiabank.admission.CompletedLease;
import org.cassiabank.admission.Granted;
import org.cassiabank.admission.InFlightAttempt;
import org.cassiabank.admission.Queued;
import org.cassiabank.admission.RefusalReason;
import org.cassiabank.admission.Refused;
import org.cassiabank.admission.SchedulableServer;
import org.cassiabank.admission.SlotDecision;
import org.cassiabank.admission.SlotScheduler;
import org.cassiabank.admission.TicketDecision;
import org.cassiabank.declaration.LabeledServer;
import org.cassiabank.declaration.ServiceDeclaration;
import org.cassiabank.health.AttemptOutcome;
import org.cassiabank.health.CompletedAttempt;
import org.cassiabank.health.HealthMonitor;
import org.cassiabank.health.MonitoredServer;
import org.cassiabank.health.ServerHealth;
import org.cassiabank.membership.Instance;
import org.cassiabank.retry.FleetRetryBudget;

/**
 * A shard that this daemon schedules: its queue, its leases and the health of its servers, behind one lock.
 */
final class OwnedShard {
    /** Below the 250 ms after which an entry proxy gives up on an owner, so that a queue is not taken for a failure. */
    static final long HOLD_MILLIS = 100;

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    /** A token of the retry budget comes back within about this time. */
    private static final long RETRY_BUDGET_MILLIS = 500;

    private static final long COLLECTION_MILLIS = 500;
    private static final long EVALUATION_INTERVAL_MILLIS = 50;
    /** A server's own leaving mark outlives a lagging list by far and ends if the server was wrong about itself. */
    private static final long LEAVING_MARK_MILLIS = 60_000;

    private final ShardKey key;
    private final ProxyMetrics metrics;
    private final SlotScheduler scheduler;
    private final HealthMonitor monitor;
    private final Optional<FleetRetryBudget> retries;
    private final Map<Long, CompletableFuture<SlotDecision>> waiting = new HashMap<>();
    private final Map<Long, Uncollected> uncollected = new HashMap<>();
    private final Map<String, Long> leavingSince = new HashMap<>();
    private Map<String, Long> incarnations = Map.of();
    private Map<String, ServerHealth> healths = Map.of();
    private FleetView view;
    private long nextEvaluationMillis;
    private long lastUseMillis;

    private OwnedShard(ShardKey key, OwnerSettings settings, ProxyMetrics metrics, Optional<FleetRetryBudget> retries) {
        this.key = key;
        this.metrics = metrics;
        this.scheduler = SlotScheduler.create(settings.scheduler());
        this.monitor = HealthMonitor.create(settings.health());
        this.retries = retries;
    }

    static OwnedShard create(
            ShardKey key, OwnerSettings settings, ProxyMetrics metrics, FleetView view, long nowMillis) {
        int shards = view.shardCount(key.service());
        Optional<FleetRetryBudget> retries = settings.retryBudgetSettings()
                .map(retryBudgetSettings -> FleetRetryBudget.create(
                        retryBudgetSettings.retryRatio(),
                        retryBudgetSettings.retryAllowancePerWindow() / shards,
                        retryBudgetSettings.retryWindowMillis(),
                        nowMillis));
        OwnedShard shard = new OwnedShard(key, settings, metrics, retries);
        shard.lastUseMillis = nowMillis;
        shard.updateView(view, nowMillis);
        return shard;
    }

    /**
     * Asks for a slot and waits for it for at most {@link #HOLD_MILLIS}.
     *
     * @param request the request
     * @param ticket the ticket of an earlier reply, 0 for a new request
     * @return the decision; queued if the wait ended first
     */
    SlotDecision acquire(AdmissionRequest request, long ticket) {
        CompletableFuture<SlotDecision> future = new CompletableFuture<>();
        long queued;
        synchronized (this) {
            long now = MonotonicClock.millis();
            lastUseMillis = now;
            if (ticket == 0 && !mayAttempt(request, now)) {
                return new Refused(RefusalReason.RETRY_BUDGET, RETRY_BUDGET_MILLIS);
            }
            SlotDecision decision = ticket == 0 ? scheduler.acquire(request, now) : renew(ticket, now);
            advance(now);
            if (!(decision instanceof Queued waitingDecision)) {
                return decision;
            }
            queued = waitingDecision.ticketId();
            waiting.put(queued, future);
        }
        return await(queued, future);
    }

    synchronized void completeLease(long lease, AttemptOutcome outcome, long latencyMicros, boolean leaving) {
        long now = MonotonicClock.millis();
        Optional<CompletedLease> finished = scheduler.completeLease(lease, outcome, latencyMicros, now);
        finished.ifPresent(ended -> {
            monitor.record(new CompletedAttempt(ended.serverName(), ended.route(), outcome, latencyMicros), now);
            if (outcome == AttemptOutcome.BROKEN
                    || outcome == AttemptOutcome.FAILED
                    || outcome == AttemptOutcome.OVERDUE) {
                // The next grant must not wait for the regular evaluation.
                updateServers(now);
            }
            if (leaving && leavingSince.put(ended.serverName(), now) == null) {
                LOGGER.atInfo().log("%s: server %s says that it is leaving", key, ended.serverName());
                updateScheduler(now);
            }
        });
        advance(now);
    }

    synchronized void removeEntryProxy(String entry) {
        scheduler.removeEntryProxy(entry, MonotonicClock.millis());
    }

    synchronized void updateView(FleetView newView, long nowMillis) {
        view = newView;
        forgetFormerStarts(nowMillis);
        updateServers(nowMillis);
    }

    /** Forgets what is known of a server that started again under its name: it holds nothing of before. */
    private void forgetFormerStarts(long nowMillis) {
        Map<String, Long> former = incarnations;
        incarnations = view.servers(key).stream()
                .map(LabeledServer::instance)
                .collect(Collectors.toMap(Instance::name, Instance::incarnation));
        Set<String> restarted = incarnations.entrySet().stream()
                .filter(known -> !known.getValue().equals(former.getOrDefault(known.getKey(), known.getValue())))
                .map(Map.Entry::getKey)
                .collect(Collectors.toSet());
        if (!restarted.isEmpty()) {
            LOGGER.atInfo().log("%s: servers %s started again", key, restarted);
            leavingSince.keySet().removeAll(restarted);
            Predicate<LabeledServer> stayed =
                    server -> !restarted.contains(server.instance().name());
            monitor.replaceServers(monitored(stayed), view.floor(key), nowMillis);
            scheduler.replaceServers(schedulableServers(stayed), nowMillis);
        }
    }

    /** Lets time pass: leases lapse, queued requests are decided, and the health of the servers is judged. */
    synchronized void tick(long nowMillis) {
        if (nowMillis >= nextEvaluationMillis) {
            nextEvaluationMillis = nowMillis + EVALUATION_INTERVAL_MILLIS;
            for (InFlightAttempt attempt : scheduler.inFlightAttempts(nowMillis)) {
                monitor.recordInFlight(attempt.serverName(), attempt.route(), attempt.elapsedMicros(), nowMillis);
            }
            updateServers(nowMillis);
        }
        advance(nowMillis);
        releaseUncollected(nowMillis);
    }

    synchronized boolean isIdleSince(long millis) {
        return lastUseMillis < millis && waiting.isEmpty();
    }

    synchronized Map<String, ServerHealth> healths() {
        return healths;
    }

    /** Tells whether anything is queued or running, so that time has to pass in small steps. */
    synchronized boolean isBusy() {
        return !waiting.isEmpty() || !uncollected.isEmpty() || scheduler.hasLeases();
    }

    private boolean mayAttempt(AdmissionRequest request, long nowMillis) {
        if (retries.isEmpty()) {
            return true;
        }
        if (request.hints().isAdditionalAttempt()) {
            return retries.get().trySpend(nowMillis);
        }
        retries.get().recordRequest(nowMillis);
        return true;
    }

    private SlotDecision renew(long ticket, long nowMillis) {
        Uncollected decided = uncollected.remove(ticket);
        if (decided != null) {
            return decided.decision();
        }
        return scheduler.renewTicket(ticket, nowMillis).orElse(new Queued(ticket));
    }

    private SlotDecision await(long ticket, CompletableFuture<SlotDecision> future) {
        try {
            return future.get(HOLD_MILLIS, TimeUnit.MILLISECONDS);
        } catch (TimeoutException exception) {
            synchronized (this) {
                waiting.remove(ticket, future);
                // The decision may have come between the timeout and the lock.
                return future.getNow(new Queued(ticket));
            }
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            return new Queued(ticket);
        } catch (ExecutionException exception) {
            throw new IllegalStateException("a waiting request is only ever completed with a decision", exception);
        }
    }

    private void advance(long nowMillis) {
        for (TicketDecision decided : scheduler.advance(nowMillis)) {
            CompletableFuture<SlotDecision> future = waiting.remove(decided.ticketId());
            if (future != null) {
                future.complete(decided.decision());
            } else {
                // The entry proxy is between two polls and collects the decision with its next one.
                uncollected.put(decided.ticketId(), new Uncollected(decided.decision(), nowMillis));
            }
        }
    }

    private void releaseUncollected(long nowMillis) {
        uncollected.values().removeIf(decided -> {
            boolean abandoned = nowMillis - decided.sinceMillis() > COLLECTION_MILLIS;
            if (abandoned && decided.decision() instanceof Granted granted) {
                scheduler.completeLease(granted.leaseId(), AttemptOutcome.CANCELLED, 0, nowMillis);
            }
            return abandoned;
        });
    }

    private void updateServers(long nowMillis) {
        leavingSince.values().removeIf(since -> nowMillis - since > LEAVING_MARK_MILLIS);
        monitor.replaceServers(monitored(server -> true), view.floor(key), nowMillis);
        Map<String, ServerHealth> judged = Map.copyOf(monitor.evaluate(nowMillis));
        reportChanges(judged);
        healths = judged;
        updateScheduler(nowMillis);
    }

    private List<MonitoredServer> monitored(Predicate<LabeledServer> filter) {
        return view.servers(key).stream()
                .filter(filter)
                .map(server -> new MonitoredServer(
                        server.instance().name(),
                        isLeaving(server),
                        scheduler.isWarm(server.instance().name())))
                .toList();
    }

    private void updateScheduler(long nowMillis) {
        scheduler.replaceServers(schedulableServers(server -> true), nowMillis);
    }

    private List<SchedulableServer> schedulableServers(Predicate<LabeledServer> filter) {
        int slots = view.service(key.service())
                .map(ServiceDeclaration::slotsPerServer)
                .orElse(1);
        List<SchedulableServer> schedulableServers = new ArrayList<>();
        for (LabeledServer server : view.servers(key)) {
            if (!filter.test(server)) {
                continue;
            }
            String name = server.instance().name();
            schedulableServers.add(new SchedulableServer(
                    name,
                    server.instance().address(),
                    server.instance().slots() > 0 ? server.instance().slots() : slots,
                    healths.getOrDefault(name, ServerHealth.HEALTHY),
                    isLeaving(server),
                    server.labels(),
                    server.instance().failureDomain()));
        }
        return schedulableServers;
    }

    private boolean isLeaving(LabeledServer server) {
        return server.leaving() || leavingSince.containsKey(server.instance().name());
    }

    private void reportChanges(Map<String, ServerHealth> judged) {
        judged.forEach((name, next) -> {
            ServerHealth former = healths.getOrDefault(name, ServerHealth.HEALTHY);
            if (former != next) {
                LOGGER.atInfo().log("%s: server %s is %s, was %s", key, name, next, former);
                if (next == ServerHealth.EJECTED) {
                    metrics.ejected(key.service());
                }
            }
        });
    }

    /** A decision that was made while its entry was between two polls. */
    private record Uncollected(SlotDecision decision, long sinceMillis) {}
}
