package org.cassiabank.admission;

/**
 * Chooses the request that gets the next free slot: by urgency and by the virtual times of the customers.
 *
 * <p>While fair admission is in force, it answers the load of customers that compete for too few slots. The requests of
 * starved customers go first, and those of customers that got more than their weighted share go last, so that urgency
 * counts within the customers' shares only. Of one customer and urgency, requests that can still meet their target go
 * before late ones, so that a backlog does not make all of them late; one of four slots goes to a late one.
 */
final class ServingOrder {
    private final ServerPool pool;
    private final UrgencyShares urgencyShares = new UrgencyShares();
    private final CustomerShares customerShares = new CustomerShares();
    private boolean fair;

    ServingOrder(ServerPool pool) {
        this.pool = pool;
    }

    void setFair(boolean value) {
        fair = value;
    }

    UrgencyShares urgencyShares() {
        return urgencyShares;
    }

    CustomerShares customerShares() {
        return customerShares;
    }

    /** Records the arrival of a ticket that has been added to a queue. */
    void recordArrival(FairQueue queue, Ticket ticket, long nowMillis) {
        if (fair) {
            String customer = ticket.request().customer();
            customerShares.recordArrival(ticket.request(), ticket.costMicros(), nowMillis);
            queue.setStarved(customer, customerShares.isStarved(customer, nowMillis));
        }
    }

    /** Records that a ticket, which has been removed from a queue, gets a slot. */
    void recordGrant(FairQueue queue, Ticket ticket, double costMicros, long nowMillis) {
        urgencyShares.recordGrant(ticket.request().urgencyRank(), nowMillis);
        if (fair) {
            String customer = ticket.request().customer();
            customerShares.recordGrant(ticket.request(), costMicros, nowMillis);
            queue.setStarved(customer, customerShares.isStarved(customer, nowMillis));
        }
    }

    /** Returns the lane of short work whose first request is next, or null if no lane finds a free slot. */
    Choice chooseShortWork(FairQueue queue, long nowMillis) {
        Choice best = null;
        for (Lane lane : queue.lanes()) {
            if (!lane.isEmpty() && (best == null || precedes(lane, best.lane(), nowMillis))) {
                ServerState server = pool.chooseForShortWork(lane, nowMillis);
                best = server == null ? best : new Choice(lane, server);
            }
        }
        return best;
    }

    /** Returns the lane of long work whose first request is next, or null if no lane finds a free slot. */
    Choice chooseLongWork(FairQueue queue, boolean prioritized, boolean shortWorkQueued, long nowMillis) {
        Choice best = null;
        for (Lane lane : queue.lanes()) {
            if (!lane.isEmpty() && (best == null || precedes(lane, best.lane(), nowMillis))) {
                ServerState server = pool.chooseForLongWork(lane, prioritized, shortWorkQueued, nowMillis);
                best = server == null ? best : new Choice(lane, server);
            }
        }
        return best;
    }

    private boolean precedes(Lane lane, Lane other, long nowMillis) {
        int group = fair ? shareGroup(lane) : 0;
        int otherGroup = fair ? shareGroup(other) : 0;
        if (group != otherGroup) {
            return group < otherGroup;
        }
        return fair && lane.key().urgencyRank() == other.key().urgencyRank() && lane.firstFlow() == other.firstFlow()
                ? precedesOfSameCustomer(lane, other, nowMillis)
                : urgencyShares.precedes(lane, other, nowMillis);
    }

    /** Compares first tickets of one customer and urgency as its queue in a lane orders them. */
    private static boolean precedesOfSameCustomer(Lane lane, Lane other, long nowMillis) {
        Ticket ticket = lane.firstTicket();
        Ticket otherTicket = other.firstTicket();
        boolean timely = ticket.isTimely(nowMillis);
        if (timely != otherTicket.isTimely(nowMillis)) {
            return timely != lane.firstFlow().isLateTurn();
        }
        boolean additional = ticket.request().hints().isAdditionalAttempt();
        return additional == otherTicket.request().hints().isAdditionalAttempt()
                ? ticket.id() < otherTicket.id()
                : additional;
    }

    private int shareGroup(Lane lane) {
        if (lane.isFirstStarved()) {
            return 0;
        }
        return customerShares.isOverShare(lane.firstTicket().request().customer()) ? 2 : 1;
    }

    /** A lane and the server with a free slot for its first request. */
    record Choice(Lane lane, ServerState server) {}
}
