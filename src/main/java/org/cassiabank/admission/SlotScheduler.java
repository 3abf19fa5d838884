package org.cassiabank.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.PriorityQueue;
import org.cassiabank.health.AttemptOutcome;

/**
 * Decides who gets the slots of one shard's backend servers.
 *
 * <p>Instances are not thread-safe. A time that is earlier than one seen before counts as the later one.
 */
public final class SlotScheduler {
    private static final long NO_SERVER_RETRY_MILLIS = 1000;
    /** Timers of tickets that left the queue are removed together when there are more than this and than others. */
    private static final int MIN_TIMERS = 1024;

    private final SchedulerSettings settings;
    private final ServerPool pool;
    private final LeaseTable leases = new LeaseTable();
    private final CostModel costs = new CostModel();
    private final FairQueue shortQueue = new FairQueue();
    private final FairQueue longQueue = new FairQueue();
    private final LongWorkShare share;
    private final UrgencyShares urgencies = new UrgencyShares();
    private final AdmissionRule admission;
    private final PriorityQueue<Timer> timers = new PriorityQueue<>(Comparator.comparingLong(Timer::due));
    private final Map<Long, SlotDecision> decided = new LinkedHashMap<>();
    private long lastTicket;
    private long latestNow = Long.MIN_VALUE;

    private SlotScheduler(SchedulerSettings settings) {
        this.settings = settings;
        this.pool = new ServerPool(settings.unrepeatableProbeDelayMillis());
        this.share = new LongWorkShare(settings);
        this.admission = new AdmissionRule(settings, pool, share, urgencies);
    }

    /**
     * Creates a scheduler without servers.
     *
     * @param settings the settings
     * @return the scheduler
     */
    public static SlotScheduler create(SchedulerSettings settings) {
        return new SlotScheduler(Objects.requireNonNull(settings, "settings"));
    }

    /**
     * Replaces the servers of the shard. Leases on servers that are gone stay valid. Queued requests that no server can
     * take any more are refused.
     *
     * @param schedulableServers all servers of the shard
     * @param nowMillis the current time in milliseconds
     */
    public void replaceServers(List<SchedulableServer> schedulableServers, long nowMillis) {
        long now = tick(nowMillis);
        pool.update(schedulableServers, now);
        for (FairQueue queue : List.of(shortQueue, longQueue)) {
            queue.matching(ticket -> pool.refusal(queue.lane(ticket.laneKey())).isPresent())
                    .forEach(ticket -> {
                        queue.remove(ticket);
                        refuseForServers(queue.lane(ticket.laneKey()))
                                .ifPresent(refused -> decided.put(ticket.number(), refused));
                    });
        }
    }

    /**
     * Asks for a slot. The decision is made at once; a queued request gets its final decision from
     * {@link #advance(long)} or {@link #renewTicket(long, long)}.
     *
     * @param request the request
     * @param nowMillis the current time in milliseconds
     * @return a grant, a refusal or a ticket
     */
    public SlotDecision acquire(AdmissionRequest request, long nowMillis) {
        long now = tick(nowMillis);
        RouteCost route = costs.route(request.route());
        boolean longWork = isLong(request, route);
        double cost = costs.costMicros(request.costHint(), route);
        if (!longWork) {
            share.recordShortArrival(cost, now);
        }
        urgencies.recordArrival(request.urgencyRank(), cost, now);
        FairQueue queue = queue(longWork);
        Optional<Refused> withoutServer = refuseForServers(queue.lane(LaneKey.of(request)));
        if (withoutServer.isPresent()) {
            return withoutServer.get();
        }
        boolean misses = cost / 1000 > request.remainingMillis();
        if (request.remainingMillis() <= 0 || misses && !route.tryProbe(now)) {
            return new Refused(RefusalReason.DEADLINE, NO_SERVER_RETRY_MILLIS);
        }
        Ticket ticket = new Ticket(++lastTicket, request, route, cost, misses, now);
        queue.add(ticket);
        dispatch(now);
        SlotDecision decision = decided.remove(ticket.number());
        if (decision != null) {
            return decision;
        }
        Optional<Refused> refused = admission.check(queue, ticket, longWork, now);
        if (refused.isPresent()) {
            queue.remove(ticket);
            return refused.get();
        }
        timers.add(new Timer(due(ticket), ticket));
        if (timers.size() > 2 * (shortQueue.size() + longQueue.size()) + MIN_TIMERS) {
            timers.removeIf(timer -> !timer.ticket().isQueued());
        }
        return new Queued(ticket.number());
    }

    /**
     * Keeps a queued request in the queue.
     *
     * @param ticket the ticket
     * @param nowMillis the current time in milliseconds
     * @return empty if the request is still queued, otherwise its final decision, which {@link #advance(long)} will
     *     then not return; {@link RefusalReason#TICKET_EXPIRED} if the ticket is not known or was decided before
     */
    public Optional<SlotDecision> renewTicket(long ticket, long nowMillis) {
        long now = tick(nowMillis);
        SlotDecision decision = decided.remove(ticket);
        if (decision != null) {
            return Optional.of(decision);
        }
        Optional<Ticket> queued = shortQueue.find(ticket).or(() -> longQueue.find(ticket));
        if (queued.isEmpty()) {
            return Optional.of(new Refused(RefusalReason.TICKET_EXPIRED, 0));
        }
        queued.get().renew(now);
        return Optional.empty();
    }

    /**
     * Takes a request out of the queue without a decision. A grant that nobody has received yet is released.
     *
     * @param ticket the ticket
     * @param nowMillis the current time in milliseconds
     */
    public void cancel(long ticket, long nowMillis) {
        tick(nowMillis);
        if (decided.remove(ticket) instanceof Granted granted) {
            leases.release(granted.leaseId());
        }
        shortQueue.find(ticket).ifPresent(shortQueue::remove);
        longQueue.find(ticket).ifPresent(longQueue::remove);
    }

    /**
     * Ends a lease and learns from its outcome. Reports of leases that are expired or not known are ignored.
     *
     * @param lease the lease
     * @param outcome how the request ended; {@link AttemptOutcome#CANCELLED} also for a grant that could not be
     *     delivered
     * @param latencyMicros the time between sending the request and its end, in microseconds
     * @param nowMillis the current time in milliseconds
     * @return what the lease was for, or empty if the report was ignored
     */
    public Optional<CompletedLease> completeLease(
            long lease, AttemptOutcome outcome, long latencyMicros, long nowMillis) {
        Objects.requireNonNull(outcome, "outcome");
        if (latencyMicros < 0) {
            throw new IllegalArgumentException("latency is negative: " + latencyMicros);
        }
        long now = tick(nowMillis);
        Optional<Lease> released = leases.release(lease);
        if (released.isEmpty()) {
            return Optional.empty();
        }
        RouteCost route = released.get().route();
        ServerState server = released.get().server();
        switch (outcome) {
            case ANSWERED -> {
                server.answered(route.isLearned() ? latencyMicros / Math.max(1, route.meanMicros()) : 1, now);
                if (costs.learn(route, latencyMicros)) {
                    reclassify();
                }
            }
            case FAILED -> server.failed(now);
            case BROKEN, OVERDUE -> {
                server.failed(now);
                route.learnAtLeast(latencyMicros);
            }
            case NOT_RUN -> server.shed(settings.backoffMillis(), now);
            case CANCELLED -> {
                // The time until a cancellation says nothing about the route or the server.
            }
        }
        return Optional.of(new CompletedLease(
                server.schedulableServer().name(), released.get().request().route()));
    }

    /**
     * Frees the leases of an entry proxy that is gone and refuses its queued requests.
     *
     * @param entryProxy the name of the entry proxy
     * @param nowMillis the current time in milliseconds
     */
    public void removeEntryProxy(String entryProxy, long nowMillis) {
        tick(nowMillis);
        leases.releaseIf(lease -> lease.request().entryProxy().equals(entryProxy));
        for (FairQueue queue : List.of(shortQueue, longQueue)) {
            queue.matching(ticket -> ticket.request().entryProxy().equals(entryProxy))
                    .forEach(ticket -> {
                        queue.remove(ticket);
                        decided.put(ticket.number(), new Refused(RefusalReason.ENTRY_LOST, 0));
                    });
        }
    }

    /**
     * Expires leases and tickets and gives free slots to queued requests. To be called after each report, after each
     * change of servers and at least every few milliseconds.
     *
     * @param nowMillis the current time in milliseconds
     * @return the final decisions since the last call, each returned once
     */
    public List<TicketDecision> advance(long nowMillis) {
        dispatch(tick(nowMillis));
        if (decided.isEmpty()) {
            return List.of();
        }
        List<TicketDecision> result = new ArrayList<>(decided.size());
        decided.forEach((ticket, decision) -> result.add(new TicketDecision(ticket, decision)));
        decided.clear();
        return result;
    }

    /**
     * Returns the requests that hold a lease.
     *
     * @param nowMillis the current time in milliseconds
     * @return the requests in the order of their grants
     */
    public List<InFlightAttempt> inFlightAttempts(long nowMillis) {
        long now = tick(nowMillis);
        return leases.all().stream()
                .map(lease -> new InFlightAttempt(
                        lease.server().schedulableServer().name(),
                        lease.request().route(),
                        (now - lease.grantedAt()) * 1000))
                .toList();
    }

    /**
     * Tells whether any request holds a slot.
     *
     * @return true if there is a lease that has neither been reported nor expired
     */
    public boolean hasLeases() {
        return !leases.all().isEmpty();
    }

    /**
     * Tells whether a server has completed its cold-start ramp.
     *
     * @param server the name of the server
     * @return true if the server is known and takes its full number of slots
     */
    public boolean isWarm(String server) {
        return pool.find(server).filter(found -> found.isWarm(latestNow)).isPresent();
    }

    private long tick(long nowMillis) {
        latestNow = Math.max(latestNow, nowMillis);
        leases.expire(latestNow);
        while (!timers.isEmpty() && timers.element().due() <= latestNow) {
            Ticket ticket = timers.remove().ticket();
            if (ticket.isQueued()) {
                boolean longWork = longQueue.find(ticket.number()).isPresent();
                if (!dropIfLate(queue(longWork), ticket, longWork, latestNow)) {
                    timers.add(new Timer(due(ticket), ticket));
                }
            }
        }
        return latestNow;
    }

    private long due(Ticket ticket) {
        return Math.min(ticket.renewedAt() + settings.ticketMillis(), ticket.latestStart() + 1);
    }

    /** Refuses a queued request whose entry proxy has not come back or whose deadline can no longer be met. */
    private boolean dropIfLate(FairQueue queue, Ticket ticket, boolean longWork, long now) {
        RefusalReason reason;
        if (now > ticket.latestStart()) {
            reason = RefusalReason.DEADLINE;
        } else if (now >= ticket.renewedAt() + settings.ticketMillis()) {
            reason = RefusalReason.TICKET_EXPIRED;
        } else {
            return false;
        }
        decided.put(ticket.number(), admission.refuseQueued(queue, ticket, longWork, reason, now));
        queue.remove(ticket);
        return true;
    }

    /** Gives free slots to queued requests: urgent long work first, then short work, then other long work. */
    private void dispatch(long now) {
        boolean granted = true;
        while (granted) {
            granted = false;
            int longHeld = 0;
            int longLimit = 0;
            boolean aged = false;
            if (!longQueue.isEmpty()) {
                longHeld = ServerPool.longLeases(pool.present());
                int total = ServerPool.usableSlots(pool.present(), now);
                long waited = now - longQueue.oldest().map(Ticket::arrivedAt).orElse(now);
                longLimit = share.limit(total, waited, now);
                aged = share.isAged(waited);
                granted = longHeld < share.urgentLimit(total, waited, now) && grantLong(true, now);
            }
            granted = granted || grantShort(now) || longHeld < longLimit && grantLong(aged, now);
        }
    }

    private boolean grantShort(long now) {
        Lane best = null;
        ServerState server = null;
        for (Lane lane : shortQueue.lanes()) {
            if (!lane.isEmpty() && (best == null || goesBefore(lane, best, now))) {
                ServerState chosen = pool.chooseForShort(lane, now);
                if (chosen != null) {
                    best = lane;
                    server = chosen;
                }
            }
        }
        return best != null && grant(shortQueue, best, server, false, now);
    }

    private boolean grantLong(boolean urgent, long now) {
        Lane best = null;
        ServerState server = null;
        for (Lane lane : longQueue.lanes()) {
            if (!lane.isEmpty() && (best == null || goesBefore(lane, best, now))) {
                ServerState chosen = pool.chooseForLong(lane, urgent, !shortQueue.isEmpty(), now);
                if (chosen != null) {
                    best = lane;
                    server = chosen;
                }
            }
        }
        return best != null && grant(longQueue, best, server, true, now);
    }

    /** Compares by urgency unless the less urgent work starves, then by fairness, then by arrival. */
    private boolean goesBefore(Lane lane, Lane other, long now) {
        int urgency = lane.key().urgency();
        int otherUrgency = other.key().urgency();
        if (urgency != otherUrgency) {
            boolean starved = urgencies.isStarved(Math.max(urgency, otherUrgency), now);
            return starved == urgency > otherUrgency;
        }
        // Requests of one customer have the same virtual time in all lanes; without the second step a lane could
        // starve.
        int order = Double.compare(lane.firstTime(), other.firstTime());
        return order < 0 || order == 0 && lane.first().number() < other.first().number();
    }

    /** Gives a slot to the first request of a lane, or refuses that request if it is too late; true in both cases. */
    private boolean grant(FairQueue queue, Lane lane, ServerState server, boolean longWork, long now) {
        Ticket ticket = lane.first();
        if (dropIfLate(queue, ticket, longWork, now)) {
            return true;
        }
        queue.serve(ticket, costs.costMicros(ticket.request().costHint(), ticket.route()));
        urgencies.recordGrant(ticket.request().urgencyRank(), now);
        long leaseMillis = ticket.deadline() - now + settings.leaseGraceMillis();
        Lease lease = leases.grant(ticket, server, longWork, now + leaseMillis, now);
        long hedgeAfterMillis = 0;
        if (ticket.request().repeatable() && shortQueue.isEmpty() && pool.hasFreeSlotBeside(server, lane, now)) {
            hedgeAfterMillis =
                    HedgeDelay.millis(ticket.route(), ticket.request().targetLatencyMillis(), ticket.deadline() - now);
        }
        SchedulableServer schedulableServer = server.schedulableServer();
        decided.put(
                ticket.number(),
                new Granted(
                        lease.number(),
                        schedulableServer.name(),
                        schedulableServer.address(),
                        leaseMillis,
                        hedgeAfterMillis));
        return true;
    }

    private boolean isLong(AdmissionRequest request, RouteCost route) {
        return settings.separateLongWork() && costs.isLong(request.costHint(), route);
    }

    private FairQueue queue(boolean longWork) {
        return longWork ? longQueue : shortQueue;
    }

    private Optional<Refused> refuseForServers(Lane lane) {
        return pool.refusal(lane).map(reason -> new Refused(reason, NO_SERVER_RETRY_MILLIS));
    }

    private void reclassify() {
        leases.reclassify(lease -> isLong(lease.request(), lease.route()));
        for (boolean fromLong : new boolean[] {false, true}) {
            FairQueue queue = queue(fromLong);
            queue.matching(ticket -> isLong(ticket.request(), ticket.route()) != fromLong)
                    .forEach(ticket -> {
                        queue.remove(ticket);
                        ticket.reprice(costs.costMicros(ticket.request().costHint(), ticket.route()));
                        queue(!fromLong).add(ticket);
                    });
        }
    }

    private record Timer(long due, Ticket ticket) {}
}
