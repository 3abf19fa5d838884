package org.cassiabank.admission;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.cassiabank.health.AttemptOutcome;

/**
 * Grants, queues and refuses requests for the slots of the backend servers of one shard.
 *
 * <p>A granted slot is held as a lease until its outcome is reported or the lease expires. Instances are not
 * thread-safe. A time earlier than that of a previous call is replaced by the latest time seen.
 */
public final class SlotScheduler {
    private final SchedulerSettings settings;
    private final ServerPool pool;
    private final LeaseTable leases = new LeaseTable();
    private final CostModel costModel = new CostModel();
    private final FairQueue shortQueue = new FairQueue();
    private final FairQueue longQueue = new FairQueue();
    private final LongWorkShare longWorkShare;
    private final ServingOrder servingOrder;
    private final AdmissionRule admissionRule;
    private final TicketTimers ticketTimers = new TicketTimers();
    private final Map<Long, SlotDecision> undeliveredDecisions = new LinkedHashMap<>();
    private long lastTicketId;
    private long latestMillis = Long.MIN_VALUE;

    private SlotScheduler(SchedulerSettings settings) {
        this.settings = settings;
        this.pool = new ServerPool(settings.unrepeatableProbeDelayMillis());
        this.servingOrder = new ServingOrder(pool);
        this.longWorkShare = new LongWorkShare(settings);
        this.admissionRule = new AdmissionRule(settings, pool, longWorkShare, servingOrder);
    }

    /**
     * Creates a scheduler without servers.
     *
     * @param settings the limits and switches of the scheduler, not null
     * @return a scheduler that refuses every request until {@link #replaceServers(List, long)} is called
     */
    public static SlotScheduler create(SchedulerSettings settings) {
        return new SlotScheduler(Objects.requireNonNull(settings, "settings"));
    }

    /**
     * Replaces the servers of the shard. Leases on removed servers stay valid. Queued requests that no remaining server
     * can run are refused.
     *
     * @param schedulableServers all servers of the shard
     * @param nowMillis the current time in milliseconds
     */
    public void replaceServers(List<SchedulableServer> schedulableServers, long nowMillis) {
        long currentMillis = advanceClock(nowMillis);
        pool.update(schedulableServers, currentMillis);
        for (FairQueue queue : List.of(shortQueue, longQueue)) {
            queue.ticketsMatching(ticket ->
                            pool.refusalReason(queue.laneFor(ticket.laneKey())).isPresent())
                    .forEach(ticket -> {
                        queue.remove(ticket);
                        refuseWithoutServer(queue, ticket.request(), ticket.deadlineMillis() - currentMillis)
                                .ifPresent(refused -> undeliveredDecisions.put(ticket.id(), refused));
                    });
        }
    }

    /**
     * Forgets the servers that restarted, whose new processes run none of the former requests. Unlike
     * {@link #replaceServers(List, long)}, which has to follow, it refuses no queued request.
     *
     * @param otherServers the servers of the shard that did not restart
     * @param nowMillis the current time in milliseconds
     */
    public void forgetRestartedServers(List<SchedulableServer> otherServers, long nowMillis) {
        pool.update(otherServers, advanceClock(nowMillis));
    }

    /**
     * Requests a slot. The call returns without waiting; the final decision about a queued request is returned by
     * {@link #advance(long)} or {@link #renewTicket(long, long)}.
     *
     * @param request what the slot is for and which servers may run it
     * @param nowMillis the current time in milliseconds
     * @return a {@link Granted} lease, a {@link Refused} reason or a {@link Queued} ticket
     */
    public SlotDecision acquire(AdmissionRequest request, long nowMillis) {
        long currentMillis = advanceClock(nowMillis);
        RouteCost routeCost = costModel.routeCost(request.route());
        boolean longWork = isLongWork(request, routeCost);
        double costMicros = costModel.costMicros(request.costHint(), routeCost);
        if (!longWork) {
            longWorkShare.recordShortArrival(costMicros, currentMillis);
        }
        servingOrder.urgencyShares().recordArrival(request.urgencyRank(), costMicros, currentMillis);
        FairQueue queue = queueFor(longWork);
        Optional<Refused> serverRefusal = refuseWithoutServer(queue, request, request.remainingMillis());
        if (serverRefusal.isPresent()) {
            return serverRefusal.get();
        }
        boolean missesDeadline = costMicros / 1000 > request.remainingMillis();
        if (request.remainingMillis() <= 0 || missesDeadline && !routeCost.tryProbe(currentMillis)) {
            return admissionRule.refuseUnservable(
                    queue, RefusalReason.DEADLINE, request, request.remainingMillis(), ++lastTicketId);
        }
        Ticket ticket = new Ticket(++lastTicketId, request, routeCost, costMicros, missesDeadline, currentMillis);
        queue.add(ticket);
        servingOrder.recordArrival(queue, ticket, currentMillis);
        dispatch(currentMillis);
        SlotDecision decision = undeliveredDecisions.remove(ticket.id());
        if (decision != null) {
            return decision;
        }
        Optional<Refused> refused = admissionRule.check(queue, ticket, longWork, currentMillis);
        if (refused.isPresent()) {
            queue.remove(ticket);
            return refused.get();
        }
        ticketTimers.add(ticket, admissionRule.nextCheckMillis(queue, ticket));
        ticketTimers.removeStale(shortQueue.size() + longQueue.size());
        return new Queued(ticket.id());
    }

    /**
     * Extends the lifetime of a queued request, or returns its final decision.
     *
     * @param ticketId the identifier from {@link Queued#ticketId()}
     * @param nowMillis the current time in milliseconds
     * @return empty if the request is still queued, otherwise its final decision, which {@link #advance(long)} does not
     *     return again; {@link RefusalReason#TICKET_EXPIRED} if the ticket is not known or its decision was returned
     *     before
     */
    public Optional<SlotDecision> renewTicket(long ticketId, long nowMillis) {
        long currentMillis = advanceClock(nowMillis);
        SlotDecision decision = undeliveredDecisions.remove(ticketId);
        if (decision != null) {
            return Optional.of(decision);
        }
        Optional<Ticket> ticket = shortQueue.find(ticketId).or(() -> longQueue.find(ticketId));
        if (ticket.isEmpty()) {
            return Optional.of(new Refused(RefusalReason.TICKET_EXPIRED, 0));
        }
        ticket.get().renew(currentMillis);
        return Optional.empty();
    }

    /**
     * Removes a request from the queue without a decision. A grant that has not been returned to the caller of this
     * scheduler yet is released.
     *
     * @param ticketId the identifier from {@link Queued#ticketId()}
     * @param nowMillis the current time in milliseconds
     */
    public void cancel(long ticketId, long nowMillis) {
        advanceClock(nowMillis);
        if (undeliveredDecisions.remove(ticketId) instanceof Granted granted) {
            leases.release(granted.leaseId());
        }
        shortQueue.find(ticketId).ifPresent(shortQueue::remove);
        longQueue.find(ticketId).ifPresent(longQueue::remove);
    }

    /**
     * Records the bytes of the messages of an attempt for its route. Has to precede the report of the outcome; leases
     * that are expired or not known are ignored.
     *
     * @param leaseId the identifier from {@link Granted#leaseId()}
     * @param bytes the bytes
     */
    public void recordMessageBytes(long leaseId, MessageBytes bytes) {
        leases.find(leaseId).ifPresent(lease -> lease.routeCost().bytes().record(bytes));
    }

    /**
     * Releases a lease and updates the estimates of its route and its server with the outcome. Reports of leases that
     * are expired or not known are ignored.
     *
     * @param leaseId the identifier from {@link Granted#leaseId()}
     * @param outcome how the request ended; {@link AttemptOutcome#CANCELLED} also for a grant that could not be
     *     delivered
     * @param latencyMicros the time between sending the request and its end, in microseconds, not negative
     * @param nowMillis the current time in milliseconds
     * @return the server and the route of the lease, or empty if the report was ignored
     * @throws IllegalArgumentException if the latency is negative
     */
    public Optional<CompletedLease> completeLease(
            long leaseId, AttemptOutcome outcome, long latencyMicros, long nowMillis) {
        Objects.requireNonNull(outcome, "outcome");
        if (latencyMicros < 0) {
            throw new IllegalArgumentException("latency is negative: " + latencyMicros);
        }
        long currentMillis = advanceClock(nowMillis);
        Optional<Lease> completedLease = leases.release(leaseId);
        if (completedLease.isEmpty()) {
            return Optional.empty();
        }
        RouteCost routeCost = completedLease.get().routeCost();
        ServerState server = completedLease.get().server();
        pool.recordOutcome(completedLease.get(), outcome, currentMillis);
        pool.recordAcceptance(server, outcome, currentMillis);
        if (outcome == AttemptOutcome.NOT_RUN) {
            server.recordShed(settings.initialBackoffMillis(), currentMillis);
        } else {
            double relativeLatency = routeCost.hasResponses() ? latencyMicros / Math.max(1, routeCost.meanMicros()) : 1;
            server.recordOutcome(outcome, leaseId, relativeLatency, currentMillis);
        }
        if (outcome == AttemptOutcome.ANSWERED && costModel.recordResponse(routeCost, latencyMicros)) {
            reclassify();
        } else if (outcome.isEvidenceAgainstServer() && outcome != AttemptOutcome.FAILED) {
            routeCost.recordLowerBound(latencyMicros);
        }
        return completedLease.map(Lease::toCompletedLease);
    }

    /**
     * Sets whether the servers in use cannot carry the load, so that others are tried beside a slow trial.
     *
     * @param needed whether further servers are needed
     * @param manyUnserved whether so many requests are not served that unrepeatable tests, which are lost if they fail,
     *     are not limited
     */
    public void setCapacityNeeded(boolean needed, boolean manyUnserved) {
        pool.setCapacityNeeded(needed, manyUnserved, latestMillis);
    }

    /**
     * Sets whether the rules of fair admission are in force: customers share slots by weight, and none is served less
     * than a third as often as all.
     *
     * @param inForce whether they are in force; false at first
     */
    public void setFairAdmission(boolean inForce) {
        servingOrder.setFair(inForce);
        shortQueue.order().setFair(inForce);
        longQueue.order().setFair(inForce);
    }

    /**
     * Takes back the failures of the last moment at some servers, because these are not their cause.
     *
     * @param serverNames the names of the servers; those that are not known are ignored
     * @param nowMillis the current time in milliseconds
     */
    public void excuseFailures(Set<String> serverNames, long nowMillis) {
        long currentMillis = advanceClock(nowMillis);
        serverNames.forEach(
                name -> pool.find(name).ifPresent(server -> server.failures().excuseFailures(currentMillis)));
    }

    /**
     * Releases the leases of an entry proxy that left the fleet and refuses its queued requests.
     *
     * @param entryProxy the name of the entry proxy
     * @param nowMillis the current time in milliseconds
     */
    public void removeEntryProxy(String entryProxy, long nowMillis) {
        advanceClock(nowMillis);
        leases.releaseIf(lease -> lease.request().entryProxy().equals(entryProxy));
        for (FairQueue queue : List.of(shortQueue, longQueue)) {
            queue.ticketsMatching(ticket -> ticket.request().entryProxy().equals(entryProxy))
                    .forEach(ticket -> {
                        queue.remove(ticket);
                        undeliveredDecisions.put(ticket.id(), new Refused(RefusalReason.ENTRY_LOST, 0));
                    });
        }
    }

    /**
     * Expires leases and tickets and grants free slots to queued requests. Must be called after each report, after each
     * change of servers and at least every few milliseconds.
     *
     * @param nowMillis the current time in milliseconds
     * @return the final decisions made since the previous call and not returned yet
     */
    public List<TicketDecision> advance(long nowMillis) {
        dispatch(advanceClock(nowMillis));
        if (undeliveredDecisions.isEmpty()) {
            return List.of();
        }
        List<TicketDecision> result = new ArrayList<>(undeliveredDecisions.size());
        undeliveredDecisions.forEach((ticket, decision) -> result.add(new TicketDecision(ticket, decision)));
        undeliveredDecisions.clear();
        return result;
    }

    /**
     * Returns the attempts whose leases have neither been reported nor expired.
     *
     * @param nowMillis the current time in milliseconds
     * @return the attempts in the order of their grants
     */
    public List<InFlightAttempt> inFlightAttempts(long nowMillis) {
        long currentMillis = advanceClock(nowMillis);
        return leases.all().stream()
                .map(lease -> lease.toInFlightAttempt(currentMillis))
                .toList();
    }

    /**
     * Returns how busy the servers are.
     *
     * @param nowMillis the current time in milliseconds
     * @return the load
     */
    public ShardLoad load(long nowMillis) {
        return pool.load(
                leases.all().size(),
                shortQueue.size() + longQueue.size(),
                leases.expiredLeases(),
                advanceClock(nowMillis));
    }

    /**
     * Tells whether any request holds a lease.
     *
     * @return true if there is a lease that has neither been reported nor expired
     */
    public boolean hasLeases() {
        return !leases.all().isEmpty();
    }

    /**
     * Tells whether a server has completed its cold-start ramp.
     *
     * @param serverName the name of the server
     * @return true if the server is known and the scheduler may fill all its slots
     */
    public boolean isWarm(String serverName) {
        return pool.find(serverName).filter(found -> found.isWarm(latestMillis)).isPresent();
    }

    private long advanceClock(long nowMillis) {
        latestMillis = Math.max(latestMillis, nowMillis);
        leases.expire(latestMillis);
        shortQueue.order().advanceTo(latestMillis);
        longQueue.order().advanceTo(latestMillis);
        for (Ticket ticket : ticketTimers.removeDue(latestMillis)) {
            boolean longWork = longQueue.find(ticket.id()).isPresent();
            FairQueue queue = queueFor(longWork);
            admissionRule
                    .reasonToStopWaiting(queue, ticket, longWork, latestMillis)
                    .ifPresentOrElse(
                            reason -> refuseQueued(queue, ticket, longWork, reason),
                            () -> ticketTimers.add(ticket, admissionRule.nextCheckMillis(queue, ticket)));
        }
        return latestMillis;
    }

    private void refuseQueued(FairQueue queue, Ticket ticket, boolean longWork, RefusalReason reason) {
        undeliveredDecisions.put(
                ticket.id(), admissionRule.refuseQueued(queue, ticket, longWork, reason, latestMillis));
        queue.remove(ticket);
    }

    /** Grants free slots: to long work below its guaranteed slots, then short work, then long work up to its limit. */
    private void dispatch(long nowMillis) {
        boolean granted = true;
        while (granted) {
            granted = false;
            int longWorkLeases = 0;
            int longWorkLimit = 0;
            boolean aged = false;
            if (!longQueue.isEmpty()) {
                longWorkLeases = ServerPool.longWorkLeases(pool.presentServers());
                int totalSlots = ServerPool.usableSlots(pool.presentServers(), nowMillis);
                long waitedMillis = nowMillis
                        - longQueue.oldestTicket().map(Ticket::arrivedAtMillis).orElse(nowMillis);
                longWorkLimit = longWorkShare.slotLimit(totalSlots, waitedMillis, nowMillis);
                aged = longWorkShare.isAged(waitedMillis);
                granted = longWorkLeases < longWorkShare.guaranteedSlots(totalSlots, waitedMillis, nowMillis)
                        && grantLongWork(true, nowMillis);
            }
            granted = granted
                    || grantShortWork(nowMillis)
                    || longWorkLeases < longWorkLimit && grantLongWork(aged, nowMillis);
        }
    }

    private boolean grantShortWork(long nowMillis) {
        ServingOrder.Choice choice = servingOrder.chooseShortWork(shortQueue, nowMillis);
        return choice != null && grant(shortQueue, choice, false, nowMillis);
    }

    private boolean grantLongWork(boolean prioritized, long nowMillis) {
        ServingOrder.Choice choice =
                servingOrder.chooseLongWork(longQueue, prioritized, !shortQueue.isEmpty(), nowMillis);
        return choice != null && grant(longQueue, choice, true, nowMillis);
    }

    /** Grants a slot to the first request of a lane, or refuses it if it is too late; returns true in both cases. */
    private boolean grant(FairQueue queue, ServingOrder.Choice choice, boolean longWork, long nowMillis) {
        Lane lane = choice.lane();
        ServerState server = choice.server();
        Ticket ticket = lane.firstTicket();
        Optional<RefusalReason> overdueReason = admissionRule.overdueReason(ticket, nowMillis);
        if (overdueReason.isPresent()) {
            refuseQueued(queue, ticket, longWork, overdueReason.get());
            return true;
        }
        double costMicros = costModel.costMicros(ticket.request().costHint(), ticket.routeCost());
        queue.removeAndCharge(ticket, costMicros);
        servingOrder.recordGrant(queue, ticket, costMicros, nowMillis);
        long leaseMillis = ticket.deadlineMillis() - nowMillis + settings.leaseGraceMillis();
        boolean suspectTest = pool.isSuspectTest(server, lane, nowMillis);
        pool.recordGrant(ticket.request().repeatable(), suspectTest, nowMillis);
        Lease lease = leases.grant(ticket, server, suspectTest, longWork, nowMillis + leaseMillis, nowMillis);
        long hedgeDelayMillis = 0;
        if (ticket.request().repeatable() && shortQueue.isEmpty() && pool.hasOtherFreeSlot(server, lane, nowMillis)) {
            hedgeDelayMillis = HedgeDelay.delayMillis(
                    ticket.routeCost(), ticket.request().targetLatencyMillis(), ticket.deadlineMillis() - nowMillis);
        }
        undeliveredDecisions.put(ticket.id(), lease.toGranted(leaseMillis, hedgeDelayMillis));
        return true;
    }

    private boolean isLongWork(AdmissionRequest request, RouteCost routeCost) {
        return settings.separateLongWork() && costModel.isLongWork(request.costHint(), routeCost);
    }

    private FairQueue queueFor(boolean longWork) {
        return longWork ? longQueue : shortQueue;
    }

    private Optional<Refused> refuseWithoutServer(FairQueue queue, AdmissionRequest request, long remainingMillis) {
        return pool.refusalReason(queue.laneFor(LaneKey.of(request)))
                .map(reason -> admissionRule.refuseUnservable(queue, reason, request, remainingMillis, ++lastTicketId));
    }

    private void reclassify() {
        leases.reclassify(lease -> isLongWork(lease.request(), lease.routeCost()));
        for (boolean fromLong : new boolean[] {false, true}) {
            FairQueue queue = queueFor(fromLong);
            queue.ticketsMatching(ticket -> isLongWork(ticket.request(), ticket.routeCost()) != fromLong)
                    .forEach(ticket -> {
                        queue.remove(ticket);
                        ticket.updateCost(costModel.costMicros(ticket.request().costHint(), ticket.routeCost()));
                        queueFor(!fromLong).add(ticket);
                    });
        }
    }
}
