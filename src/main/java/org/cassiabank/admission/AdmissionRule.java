package org.cassiabank.admission;

import java.util.Optional;

/**
 * Decides on arrival whether a request without a free slot is queued or refused, from its predicted wait.
 */
final class AdmissionRule {
    /** The predicted wait is multiplied by this, because waits vary and few queued requests may miss their deadline. */
    private static final double WAIT_MARGIN_FACTOR = 1.1;

    /**
     * The maximum ratio of the assumed service time to the mean. Without it a heavy tail would refuse requests that
     * usually meet their deadline.
     */
    private static final double MAXIMUM_TAIL_FACTOR = 3;

    /** The retry time of requests that no server can run or whose estimated cost exceeds their remaining time. */
    private static final long UNSERVABLE_RETRY_AFTER_MILLIS = 1000;

    private static final long MINIMUM_RETRY_AFTER_MILLIS = 10;
    private static final long MAXIMUM_RETRY_AFTER_MILLIS = 10_000;

    private final SchedulerSettings settings;
    private final ServerPool pool;
    private final LongWorkShare longWorkShare;
    private final UrgencyShares urgencyShares;
    private final CustomerShares customerShares;

    AdmissionRule(SchedulerSettings settings, ServerPool pool, LongWorkShare longWorkShare, ServingOrder servingOrder) {
        this.settings = settings;
        this.pool = pool;
        this.longWorkShare = longWorkShare;
        this.urgencyShares = servingOrder.urgencyShares();
        this.customerShares = servingOrder.customerShares();
    }

    /** Returns why a ticket that was added to the queue last must be refused, or empty if it may stay. */
    Optional<Refused> check(FairQueue queue, Ticket ticket, boolean longWork, long nowMillis) {
        double waitMillis = predictWaitMillis(queue, ticket, longWork, nowMillis);
        // A customer may hold at most as many places as are still free, so that a new customer always finds one.
        int otherRequests = queue.size() - 1;
        if (queue.queuedRequests(ticket.request().customer()) > settings.queueLimit() - otherRequests) {
            return Optional.of(refusal(queue, ticket, RefusalReason.QUEUE_FULL, waitMillis, nowMillis));
        }
        if (!settings.refuseByPredictedWait()) {
            return Optional.empty();
        }
        double costMillis = ticket.costMicros() / 1000;
        double tailMillis = Math.min(ticket.routeCost().p95Micros() / 1000, MAXIMUM_TAIL_FACTOR * costMillis);
        double serviceMillis = ticket.isProbe() ? 0 : Math.max(costMillis, tailMillis);
        double excessMillis = waitMillis * WAIT_MARGIN_FACTOR
                + serviceMillis
                - ticket.request().remainingMillis();
        if (excessMillis > 0) {
            return Optional.of(
                    refusal(queue, ticket, RefusalReason.DEADLINE, Math.max(waitMillis, excessMillis), nowMillis));
        }
        double maximumWaitMillis = Math.max(
                longWork ? settings.maximumLongWorkWaitMillis() : settings.maximumShortWorkWaitMillis(),
                2 * costMillis);
        if (queue.order().isFair()) {
            if (ticket.request().hints().isAdditionalAttempt()) {
                // The request has been admitted and has waited before; only its deadline is a reason to refuse it.
                return Optional.empty();
            }
        }
        if (waitMillis > maximumWaitMillis) {
            return Optional.of(refusal(queue, ticket, RefusalReason.WAIT_TOO_LONG, waitMillis, nowMillis));
        }
        return Optional.empty();
    }

    /** Returns when a queued request has to be checked again, in milliseconds. */
    long nextCheckMillis(FairQueue queue, Ticket ticket) {
        long dueMillis =
                Math.min(ticket.renewedAtMillis() + settings.ticketLifetimeMillis(), ticket.latestStartMillis() + 1);
        return queue.order().isFair() ? Math.min(dueMillis, ticket.nextWaitCheckMillis()) : dueMillis;
    }

    /** Returns why a request must not start or wait any longer, or empty if it may. */
    Optional<RefusalReason> overdueReason(Ticket ticket, long nowMillis) {
        if (nowMillis > ticket.latestStartMillis()) {
            return Optional.of(RefusalReason.DEADLINE);
        }
        return nowMillis >= ticket.renewedAtMillis() + settings.ticketLifetimeMillis()
                ? Optional.of(RefusalReason.TICKET_EXPIRED)
                : Optional.empty();
    }

    /**
     * Checks a queued request again. While fair admission is in force, one whose predicted wait leaves no time before
     * its deadline is refused now, for example because servers failed after its arrival, and not held until then.
     */
    Optional<RefusalReason> reasonToStopWaiting(FairQueue queue, Ticket ticket, boolean longWork, long nowMillis) {
        Optional<RefusalReason> overdue = overdueReason(ticket, nowMillis);
        if (overdue.isPresent() || !queue.order().isFair() || nowMillis < ticket.nextWaitCheckMillis()) {
            return overdue;
        }
        ticket.scheduleWaitCheck(nowMillis);
        boolean missesDeadline = settings.refuseByPredictedWait()
                && nowMillis + predictWaitMillis(queue, ticket, longWork, nowMillis) > ticket.latestStartMillis();
        return missesDeadline ? Optional.of(RefusalReason.DEADLINE) : Optional.empty();
    }

    /** Creates the refusal of a queued request; its retry time is the wait predicted for such a request now. */
    Refused refuseQueued(FairQueue queue, Ticket ticket, boolean longWork, RefusalReason reason, long nowMillis) {
        return refusal(queue, ticket, reason, predictWaitMillis(queue, ticket, longWork, nowMillis), nowMillis);
    }

    private double predictWaitMillis(FairQueue queue, Ticket ticket, boolean longWork, long nowMillis) {
        int urgencyRank = ticket.request().urgencyRank();
        boolean overtakesUrgentWork = urgencyShares.isStarved(urgencyRank, nowMillis);
        Lane lane = queue.laneFor(ticket.laneKey());
        double aheadMicros = queue.workAheadMicros(ticket, overtakesUrgentWork);
        double aheadInLaneMicros = Math.min(aheadMicros, Math.max(0, lane.queuedMicros() - ticket.costMicros()));
        double allSlots = slotsForCostClass(pool.presentServers(), ticket.costMicros(), longWork, nowMillis);
        double laneSlots = slotsForCostClass(lane.candidates(pool), ticket.costMicros(), longWork, nowMillis);
        if (queue.order().isFair()) {
            allSlots *= pool.acceptedShare(pool.presentServers(), ticket.costMicros(), nowMillis);
            laneSlots *= pool.acceptedShare(lane.candidates(pool), ticket.costMicros(), nowMillis);
            double availableSlots = overtakesUrgentWork || queue.isStarved(ticket)
                    ? allSlots
                    : customerShares.availableSlots(ticket.request().customer(), urgencyRank, allSlots, nowMillis);
            double customerWaitMicros =
                    queue.earlierWorkOfCustomerMicros(ticket) / availableSlots + ticket.costMicros() / allSlots;
            double sharedWaitMicros = Math.max(
                    (aheadMicros + ticket.costMicros()) / allSlots,
                    (aheadInLaneMicros + ticket.costMicros()) / laneSlots);
            return Math.max(customerWaitMicros, sharedWaitMicros) / 1000;
        }
        if (!overtakesUrgentWork) {
            allSlots = urgencyShares.availableSlots(allSlots, urgencyRank, nowMillis);
            laneSlots = urgencyShares.availableSlots(laneSlots, urgencyRank, nowMillis);
        }
        double allServersWaitMicros = (aheadMicros + ticket.costMicros()) / allSlots;
        double laneWaitMicros = (aheadInLaneMicros + ticket.costMicros()) / laneSlots;
        return Math.max(allServersWaitMicros, laneWaitMicros) / 1000;
    }

    private double slotsForCostClass(ServerState[] servers, double costMicros, boolean longWork, long nowMillis) {
        int usableSlots = ServerPool.usableSlots(servers, nowMillis);
        int costClassSlots = longWork
                ? longWorkShare.slotLimit(usableSlots, 0, nowMillis)
                : usableSlots - ServerPool.longWorkLeases(servers);
        double slots = Math.max(1, costClassSlots);
        double capacity = ServerPool.usableCapacity(servers, Math.max(1, costMicros), nowMillis);
        // Below a slot only if the servers' limits of requests a second leave no more.
        return capacity > 0 && capacity < usableSlots ? Math.min(slots, capacity) : slots;
    }

    /** Creates the refusal of a request that no server can run or whose estimated cost exceeds its remaining time. */
    Refused refuseUnservable(
            FairQueue queue, RefusalReason reason, AdmissionRequest request, long remainingMillis, long requestNumber) {
        return new Refused(
                reason,
                queue.order().isFair()
                        ? RetryTimes.retryAfterMillis(
                                UNSERVABLE_RETRY_AFTER_MILLIS, remainingMillis, request.digest(), requestNumber)
                        : UNSERVABLE_RETRY_AFTER_MILLIS);
    }

    private static Refused refusal(
            FairQueue queue, Ticket ticket, RefusalReason reason, double retryAfterMillis, long nowMillis) {
        return new Refused(
                reason,
                queue.order().isFair()
                        ? RetryTimes.retryAfterMillis(
                                retryAfterMillis,
                                ticket.deadlineMillis() - nowMillis,
                                ticket.request().digest(),
                                ticket.id())
                        : Math.round(
                                Math.clamp(retryAfterMillis, MINIMUM_RETRY_AFTER_MILLIS, MAXIMUM_RETRY_AFTER_MILLIS)));
    }
}
