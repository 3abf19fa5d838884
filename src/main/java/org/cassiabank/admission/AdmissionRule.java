package org.cassiabank.admission;

import java.util.Optional;

/**
 * Decides on arrival whether a request that finds no free slot may wait, from the predicted wait.
 */
final class AdmissionRule {
    /** Waits vary around their prediction; this part is added so that few queued requests miss their deadline. */
    private static final double WAIT_MARGIN = 1.1;
    /** Limits the influence of a heavy tail, which would otherwise refuse requests that usually fit. */
    private static final double LARGEST_TAIL = 3;

    private static final long SMALLEST_RETRY_MILLIS = 10;
    private static final long LARGEST_RETRY_MILLIS = 10_000;

    private final SchedulerSettings settings;
    private final ServerPool pool;
    private final LongWorkShare share;
    private final UrgencyShares urgencies;

    AdmissionRule(SchedulerSettings settings, ServerPool pool, LongWorkShare share, UrgencyShares urgencies) {
        this.settings = settings;
        this.pool = pool;
        this.share = share;
        this.urgencies = urgencies;
    }

    /** Checks a ticket that was just queued. */
    Optional<Refused> check(FairQueue queue, Ticket ticket, boolean longWork, long nowMillis) {
        double waitMillis = waitMillis(queue, ticket, longWork, nowMillis);
        // A customer gets at most as many places as are still free, so that a newcomer always finds one.
        int others = queue.size() - 1;
        if (queue.queuedOf(ticket.request().customer()) > settings.queueLimit() - others) {
            return Optional.of(refusal(RefusalReason.QUEUE_FULL, waitMillis, 0));
        }
        if (!settings.predictWait()) {
            return Optional.empty();
        }
        double cost = ticket.costMicros() / 1000;
        double tail = Math.min(ticket.route().p95Micros() / 1000, LARGEST_TAIL * cost);
        double service = ticket.isProbe() ? 0 : Math.max(cost, tail);
        double excess = waitMillis * WAIT_MARGIN + service - ticket.request().remainingMillis();
        if (excess > 0) {
            return Optional.of(refusal(RefusalReason.DEADLINE, waitMillis, excess));
        }
        double longest = Math.max(longWork ? settings.longWaitMillis() : settings.shortWaitMillis(), 2 * cost);
        if (waitMillis > longest) {
            return Optional.of(refusal(RefusalReason.WAIT_TOO_LONG, waitMillis, 0));
        }
        return Optional.empty();
    }

    /** Refuses a request that was queued before. The retry time is the wait that it would be given now. */
    Refused refuseQueued(FairQueue queue, Ticket ticket, boolean longWork, RefusalReason reason, long nowMillis) {
        return refusal(reason, waitMillis(queue, ticket, longWork, nowMillis), 0);
    }

    private double waitMillis(FairQueue queue, Ticket ticket, boolean longWork, long nowMillis) {
        int urgency = ticket.request().urgencyRank();
        boolean overtakes = urgencies.isStarved(urgency, nowMillis);
        Lane lane = queue.lane(ticket.laneKey());
        double ahead = queue.microsAhead(ticket, overtakes);
        double aheadInLane = Math.min(ahead, Math.max(0, lane.queuedMicros() - ticket.costMicros()));
        double allSlots = slots(pool.present(), longWork, nowMillis);
        double laneSlots = slots(lane.candidates(pool), longWork, nowMillis);
        if (!overtakes) {
            allSlots = urgencies.slotsLeft(allSlots, urgency, nowMillis);
            laneSlots = urgencies.slotsLeft(laneSlots, urgency, nowMillis);
        }
        double all = (ahead + ticket.costMicros()) / allSlots;
        double inLane = (aheadInLane + ticket.costMicros()) / laneSlots;
        return Math.max(all, inLane) / 1000;
    }

    private int slots(ServerState[] servers, boolean longWork, long nowMillis) {
        int usable = ServerPool.usableSlots(servers, nowMillis);
        int forClass = longWork ? share.limit(usable, 0, nowMillis) : usable - ServerPool.longLeases(servers);
        return Math.max(1, forClass);
    }

    private static Refused refusal(RefusalReason reason, double waitMillis, double excessMillis) {
        double retry = Math.max(waitMillis, excessMillis);
        return new Refused(reason, Math.round(Math.min(LARGEST_RETRY_MILLIS, Math.max(SMALLEST_RETRY_MILLIS, retry))));
    }
}
