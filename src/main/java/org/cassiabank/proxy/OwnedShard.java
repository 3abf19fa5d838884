package org.cassiabank.proxy;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Predicate;
import org.cassiabank.admission.AdmissionRequest;
import org.cassiabank.admission.CompletedLease;
import org.cassiabank.admission.FairAdmissionScope;
import org.cassiabank.admission.Granted;
import org.cassiabank.admission.InFlightAttempt;
import org.cassiabank.admission.MessageBytes;
import org.cassiabank.admission.Queued;
import org.cassiabank.admission.Refused;
import org.cassiabank.admission.SchedulableServer;
import org.cassiabank.admission.ServerNotice;
import org.cassiabank.admission.ServerRateLimit;
import org.cassiabank.admission.ServerRateLimits;
import org.cassiabank.admission.ShardLoad;
import org.cassiabank.admission.SlotDecision;
import org.cassiabank.admission.SlotScheduler;
import org.cassiabank.admission.TicketDecision;
import org.cassiabank.declaration.LabeledServer;
import org.cassiabank.declaration.ServiceDeclaration;
import org.cassiabank.health.AttemptOutcome;
import org.cassiabank.health.HealthMonitor;
import org.cassiabank.health.MonitoredServer;
import org.cassiabank.health.ServerHealth;
import org.cassiabank.health.UnservedShare;

/**
 * A shard that this daemon schedules: its queue, its leases and the health of its servers, guarded by one lock.
 */
final class OwnedShard {
    /**
     * Limits how long one call of an entry proxy waits for a decision. Below the 250 ms after which an entry proxy
     * gives up on an owner, so that a queued request is not mistaken for a failed owner.
     */
    static final long MAXIMUM_POLL_WAIT_MILLIS = 100;

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private static final long EVALUATION_INTERVAL_MILLIS = 50;

    private final ShardKey key;
    private final FatalRequestExchange fatalRequests;
    private final ServerHealthLog healthLog;
    private final ShardLoadLog loadLog;
    private final ProxyMetrics metrics;
    private final SlotScheduler scheduler;
    private final HealthMonitor monitor;
    /** The setting {@code fair-admission}. */
    private final boolean fairAdmissionEnabled;

    private final NewRequestCheck newRequestCheck;
    private final QuotaCharges charges;
    private final UnservedShare unservedShare = UnservedShare.create(MonotonicClock.millis());
    private final Map<Long, CompletableFuture<SlotDecision>> waitingPolls = new HashMap<>();
    private final UncollectedDecisions uncollectedDecisions = new UncollectedDecisions();
    private final ServerRateLimits rateLimits = ServerRateLimits.create();
    private final KnownLeavingServers leavingServers;
    private final ListedStarts listedStarts = new ListedStarts();
    private Map<String, ServerHealth> healthByServer = Map.of();
    private FleetView view;
    private long nextEvaluationMillis;
    private long lastRequestMillis;
    /** Set when the shard is removed; later requests and leases belong to a new shard. */
    private boolean retired;

    private OwnedShard(
            ShardKey key,
            OwnerSettings settings,
            FatalRequestExchange fatalRequests,
            KnownLeavingServers leavingServers,
            ProxyMetrics metrics,
            QuotaGate quotas,
            ShardRetryBudget retryBudget) {
        this.key = key;
        this.fatalRequests = fatalRequests;
        this.leavingServers = leavingServers;
        this.healthLog = ServerHealthLog.create(key, metrics);
        this.metrics = metrics;
        this.loadLog = ShardLoadLog.create(key);
        this.scheduler = SlotScheduler.create(settings.scheduler());
        this.fairAdmissionEnabled = settings.scheduler().fairAdmission();
        this.monitor = HealthMonitor.create(settings.health());
        this.newRequestCheck = new NewRequestCheck(fatalRequests, retryBudget);
        this.charges = new QuotaCharges(quotas);
    }

    static OwnedShard create(
            ShardKey key,
            OwnerSettings settings,
            FatalRequestExchange fatalRequests,
            KnownLeavingServers leavingServers,
            ProxyMetrics metrics,
            QuotaGate quotas,
            FleetView view,
            long nowMillis) {
        ShardRetryBudget retryBudget =
                ShardRetryBudget.create(settings.retryBudgetSettings(), view.shardCount(key.service()), nowMillis);
        OwnedShard shard = new OwnedShard(key, settings, fatalRequests, leavingServers, metrics, quotas, retryBudget);
        shard.lastRequestMillis = nowMillis;
        shard.updateView(view, nowMillis);
        return shard;
    }

    /**
     * Requests a slot and waits for the decision for at most {@link #MAXIMUM_POLL_WAIT_MILLIS}.
     *
     * @param request the request
     * @param presentedTicketId the ticket of an earlier {@link Queued} decision, 0 for a new request
     * @return the decision, {@link Queued} if none was made in this time; empty if the shard has been removed
     */
    Optional<SlotDecision> acquire(AdmissionRequest request, long presentedTicketId) {
        CompletableFuture<SlotDecision> future = new CompletableFuture<>();
        long ticketId;
        synchronized (this) {
            long nowMillis = MonotonicClock.millis();
            if (retired) {
                return Optional.empty();
            }
            lastRequestMillis = nowMillis;
            Optional<Refused> refused =
                    presentedTicketId == 0 ? newRequestCheck.refuse(request, nowMillis) : Optional.empty();
            if (refused.isPresent()) {
                recordRefusal(refused.get(), false, nowMillis);
                return Optional.of(refused.get());
            }
            SlotDecision decision = presentedTicketId == 0
                    ? charges.acquire(request, () -> scheduler.acquire(request, nowMillis))
                    : renewTicket(presentedTicketId, nowMillis);
            advanceScheduler(nowMillis);
            if (decision instanceof Refused refusal) {
                recordRefusal(refusal, presentedTicketId != 0, nowMillis);
                fatalRequests.recordEnd(request.digest(), false);
            }
            if (!(decision instanceof Queued queued)) {
                return Optional.of(decision);
            }
            ticketId = queued.ticketId();
            waitingPolls.put(ticketId, future);
        }
        return Optional.of(awaitDecision(ticketId, future));
    }

    private void recordRefusal(Refused refused, boolean queued, long nowMillis) {
        metrics.recordSlotRefusal(refused.reason().label(), queued);
        if (refused.reason().showsLackOfServers()) {
            loadLog.recordRefusal();
            unservedShare.recordRefusal(nowMillis);
        }
    }

    /** Records the bytes of the messages of an attempt; has to precede the release of its lease. */
    synchronized void recordMessageBytes(long leaseId, MessageBytes bytes) {
        scheduler.recordMessageBytes(leaseId, bytes);
    }

    /** Releases a lease; returns false if it is not known. */
    synchronized boolean completeLease(long leaseId, AttemptOutcome outcome, long latencyMicros, ServerNotice notice) {
        long nowMillis = MonotonicClock.millis();
        Optional<CompletedLease> completedLease = scheduler.completeLease(leaseId, outcome, latencyMicros, nowMillis);
        completedLease.ifPresent(completed -> {
            recordForRequest(completed, outcome);
            loadLog.recordAttempt(outcome.isEvidenceAgainstServer());
            unservedShare.recordAttempt(outcome, completed.repeatable(), completed.suspectTest(), nowMillis);
            if (completed.suspectTest()) {
                healthLog.recordSuspectTest(completed.repeatable(), outcome);
            }
            if (outcome.isEvidenceAgainstServer()) {
                healthLog.recordFailure(completed.serverName(), outcome, completed.entryProxy());
            }
            Set<String> excusedServers = monitor.record(completed.toAttempt(outcome, latencyMicros), nowMillis);
            if (!excusedServers.isEmpty()) {
                healthLog.recordSimultaneousBreaks(excusedServers);
                scheduler.excuseFailures(excusedServers, nowMillis);
            }
            if (outcome.isEvidenceAgainstServer()) {
                // The next grant depends on the new health, which must not wait for the periodic evaluation.
                updateServers(nowMillis);
            }
            if (rateLimits.record(completed.serverName(), notice.rateLimit(), completed.grantedAtMillis(), nowMillis)) {
                healthLog.reportRateLimit(completed.serverName(), rateLimits.limit(completed.serverName()));
                updateScheduler(nowMillis);
            }
            if (notice.leaving()) {
                recordLeaving(completed);
                updateScheduler(nowMillis);
            }
        });
        advanceScheduler(nowMillis);
        return completedLease.isPresent();
    }

    /** Records the announcement of a server, unless another start of it was listed when the attempt began. */
    private void recordLeaving(CompletedLease completed) {
        listedStarts
                .startOfAttempt(completed.serverName(), completed.grantedAtMillis())
                .ifPresent(start -> leavingServers.record(start, "its response to " + completed.entryProxy()));
    }

    private void recordForRequest(CompletedLease completed, AttemptOutcome outcome) {
        long incarnation = listedStarts.incarnation(completed.serverName()).orElse(0);
        switch (outcome) {
            case BROKEN -> {
                LOGGER.atInfo().log(
                        "%s: the connection of server %s broke while it had request %s of %s",
                        key, completed.serverName(), completed.digest().shortText(), completed.entryProxy());
                fatalRequests.recordCrash(completed.digest(), key, completed.serverName(), incarnation);
            }
            case ANSWERED -> {
                fatalRequests.recordEnd(completed.digest(), true);
                fatalRequests.recordLivingServer(completed.serverName(), incarnation, completed.grantedAtMillis());
            }
            // A server that sends bytes, whatever they are, has not ended.
            case SPOILED, FAILED, OVERDUE, NOT_RUN, CANCELLED -> fatalRequests.recordEnd(completed.digest(), false);
        }
    }

    /** Adds limits of servers that an entry proxy knows, perhaps from the time of a former owner. */
    synchronized void mergeRateLimits(List<ServerRateLimit> limits) {
        long nowMillis = MonotonicClock.millis();
        boolean changed = false;
        for (ServerRateLimit limit : limits) {
            if (listedStarts.serverNames().contains(limit.server()) && rateLimits.merge(limit, nowMillis)) {
                healthLog.reportRateLimit(limit.server(), rateLimits.limit(limit.server()));
                changed = true;
            }
        }
        if (changed) {
            updateScheduler(nowMillis);
        }
    }

    synchronized void removeEntryProxy(String entryProxyName) {
        scheduler.removeEntryProxy(entryProxyName, MonotonicClock.millis());
    }

    synchronized void updateView(FleetView newView, long nowMillis) {
        if (view == null || view.configuration() != newView.configuration()) {
            boolean fairAdmission =
                    FairAdmissionScope.isInForce(newView.configuration(), key.service(), fairAdmissionEnabled);
            scheduler.setFairAdmission(fairAdmission);
            newRequestCheck.setSpreadRetryTimes(fairAdmission);
        }
        view = newView;
        discardStateOfRestartedServers(nowMillis);
        updateServers(nowMillis);
    }

    /** Discards the state of servers that restarted under their name: the new process runs none of the old requests. */
    private void discardStateOfRestartedServers(long nowMillis) {
        Map<String, Long> formerIncarnations = listedStarts.replace(
                view.servers(key).stream().map(LabeledServer::instance).toList(), nowMillis);
        Set<String> restarted = formerIncarnations.keySet();
        rateLimits.retain(listedStarts.serverNames());
        if (!restarted.isEmpty()) {
            LOGGER.atInfo().log("%s: servers %s restarted", key, restarted);
            rateLimits.forget(restarted);
            scheduler.inFlightAttempts(nowMillis).stream()
                    .filter(attempt -> restarted.contains(attempt.serverName()))
                    .forEach(attempt -> fatalRequests.recordCrash(
                            attempt.digest(), key, attempt.serverName(), formerIncarnations.get(attempt.serverName())));
            Predicate<LabeledServer> notRestarted =
                    server -> !restarted.contains(server.instance().name());
            monitor.replaceServers(monitoredServers(notRestarted), view.ejectionFloor(key), nowMillis);
            scheduler.forgetRestartedServers(schedulableServers(notRestarted), nowMillis);
        }
    }

    /** Expires leases, decides queued requests, evaluates server health and drops decisions not collected in time. */
    synchronized void tick(long nowMillis) {
        if (nowMillis >= nextEvaluationMillis) {
            nextEvaluationMillis = nowMillis + EVALUATION_INTERVAL_MILLIS;
            for (InFlightAttempt attempt : scheduler.inFlightAttempts(nowMillis)) {
                monitor.recordInFlight(attempt.serverName(), attempt.route(), attempt.elapsedMicros(), nowMillis);
            }
            updateServers(nowMillis);
        }
        advanceScheduler(nowMillis);
        if (loadLog.isDue(nowMillis)) {
            reportLoad(nowMillis);
        }
        releaseUncollectedDecisions(nowMillis);
    }

    /**
     * Retires the shard unless it is in use, so that it can be removed.
     *
     * @param sinceMillis the time before which the last request must have come
     * @return false if there was a later request, or if a request is queued or running
     */
    synchronized boolean retireIfIdleSince(long sinceMillis) {
        retired = lastRequestMillis < sinceMillis && !isBusy();
        return retired;
    }

    synchronized ShardLoad load() {
        return scheduler.load(MonotonicClock.millis());
    }

    synchronized int rateLimitCount() {
        return rateLimits.all(MonotonicClock.millis()).size();
    }

    synchronized Map<String, ServerHealth> healthByServer() {
        return healthByServer;
    }

    /** Tells whether anything is queued or running, so that ticks have to come at short intervals. */
    synchronized boolean isBusy() {
        return !waitingPolls.isEmpty() || !uncollectedDecisions.isEmpty() || scheduler.hasLeases();
    }

    private SlotDecision renewTicket(long ticketId, long nowMillis) {
        Optional<SlotDecision> collected = uncollectedDecisions.collect(ticketId);
        SlotDecision decision =
                collected.or(() -> scheduler.renewTicket(ticketId, nowMillis)).orElse(new Queued(ticketId));
        charges.recordDecision(ticketId, decision);
        return decision;
    }

    private SlotDecision awaitDecision(long ticketId, CompletableFuture<SlotDecision> future) {
        try {
            return future.get(MAXIMUM_POLL_WAIT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (TimeoutException exception) {
            synchronized (this) {
                waitingPolls.remove(ticketId, future);
                // The decision may have been made between the timeout and the lock.
                return future.getNow(new Queued(ticketId));
            }
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            return new Queued(ticketId);
        } catch (ExecutionException exception) {
            throw new IllegalStateException("the future of a decision must not complete exceptionally", exception);
        }
    }

    private void advanceScheduler(long nowMillis) {
        for (TicketDecision decided : scheduler.advance(nowMillis)) {
            CompletableFuture<SlotDecision> future = waitingPolls.remove(decided.ticketId());
            if (future != null) {
                if (decided.decision() instanceof Refused refused) {
                    metrics.recordSlotRefusal(refused.reason().label(), true);
                }
                charges.recordDecision(decided.ticketId(), decided.decision());
                future.complete(decided.decision());
            } else {
                // The entry proxy is between two polls and collects the decision with its next one.
                uncollectedDecisions.add(decided.ticketId(), decided.decision(), nowMillis);
            }
        }
    }

    private void releaseUncollectedDecisions(long nowMillis) {
        uncollectedDecisions.removeAbandoned(nowMillis, (ticketId, decision) -> {
            if (decision instanceof Granted granted) {
                scheduler.completeLease(granted.leaseId(), AttemptOutcome.CANCELLED, 0, nowMillis);
            }
            charges.recordAbandoned(ticketId);
        });
    }

    synchronized void updateServers() {
        updateServers(MonotonicClock.millis());
    }

    private void updateServers(long nowMillis) {
        monitor.replaceServers(monitoredServers(server -> true), view.ejectionFloor(key), nowMillis);
        boolean manyUnserved = unservedShare.isHigh(nowMillis);
        boolean capacityNeeded = manyUnserved || scheduler.load(nowMillis).isNearlyFull();
        scheduler.setCapacityNeeded(capacityNeeded, manyUnserved);
        Map<String, ServerHealth> newHealthByServer = Map.copyOf(monitor.evaluate(capacityNeeded, nowMillis));
        healthLog.report(healthByServer, newHealthByServer, monitor);
        healthByServer = newHealthByServer;
        updateScheduler(nowMillis);
    }

    private void reportLoad(long nowMillis) {
        int leavingServers =
                (int) view.servers(key).stream().filter(this::isLeaving).count();
        loadLog.report(healthByServer.values(), leavingServers, scheduler.load(nowMillis), nowMillis);
    }

    private List<MonitoredServer> monitoredServers(Predicate<LabeledServer> filter) {
        return view.servers(key).stream()
                .filter(filter)
                .map(server -> new MonitoredServer(
                        server.instance().name(),
                        isLeaving(server),
                        scheduler.isWarm(server.instance().name()),
                        server.instance().failureDomain()))
                .toList();
    }

    private void updateScheduler(long nowMillis) {
        scheduler.replaceServers(schedulableServers(server -> true), nowMillis);
    }

    private List<SchedulableServer> schedulableServers(Predicate<LabeledServer> filter) {
        int declaredSlots = view.service(key.service())
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
                    server.instance().slots() > 0 ? server.instance().slots() : declaredSlots,
                    healthByServer.getOrDefault(name, ServerHealth.HEALTHY),
                    isLeaving(server),
                    server.labels(),
                    server.instance().failureDomain(),
                    schedulableRate(name)));
        }
        return schedulableServers;
    }

    /** Returns this region's part of the limit that a server names. */
    private OptionalDouble schedulableRate(String serverName) {
        OptionalDouble limit = rateLimits.limit(serverName);
        return limit.isEmpty() ? limit : OptionalDouble.of(limit.getAsDouble() / view.schedulingRegionCount());
    }

    private boolean isLeaving(LabeledServer server) {
        return server.leaving()
                || leavingServers.isLeaving(
                        server.instance().name(), server.instance().incarnation());
    }
}
