package org.cassiabank.admission;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * The queue of one cost class, with start-time fair queueing between customers.
 *
 * <p>Each customer has a virtual time that advances by the cost of its requests; the request whose customer has the
 * earliest time is first. A customer that was idle continues at the virtual time of the queue, so that it accumulates
 * no credit. Requests that the same servers can take form a lane, because a free slot can only go to some of the lanes.
 */
final class FairQueue {
    /** Above this number empty lanes are removed; each decision looks at all lanes. */
    private static final int MAX_LANES = 32;

    private static final int MIN_SWEEP = 1024;

    /**
     * In overload, later requests of customers with less queued work are served before those of customers with more.
     * With this factor 0.2% instead of 3.7% of the refusals come late at 3 times the capacity and a deadline of 300 ms.
     */
    private static final double OVERTAKING = 1.25;

    private final Map<LaneKey, Lane> lanes = new HashMap<>();
    private final Map<String, Flow> flows = new HashMap<>();
    private final Map<Long, Ticket> tickets = new LinkedHashMap<>();
    private final TreeMap<Integer, Double> queuedMicros = new TreeMap<>();
    private double virtualTime;
    private int activeFlows;
    private int sweepAt = MIN_SWEEP;
    private long sequence;

    int size() {
        return tickets.size();
    }

    boolean isEmpty() {
        return tickets.isEmpty();
    }

    int queuedOf(String customer) {
        Flow flow = flows.get(customer);
        return flow == null ? 0 : flow.queued();
    }

    Optional<Ticket> find(long number) {
        return Optional.ofNullable(tickets.get(number));
    }

    Optional<Ticket> oldest() {
        return tickets.isEmpty()
                ? Optional.empty()
                : Optional.of(tickets.values().iterator().next());
    }

    List<Ticket> matching(Predicate<Ticket> condition) {
        return tickets.values().stream().filter(condition).toList();
    }

    Lane lane(LaneKey key) {
        Lane lane = lanes.get(key);
        if (lane == null) {
            if (lanes.size() >= MAX_LANES) {
                lanes.values().removeIf(Lane::isEmpty);
            }
            lane = new Lane(key);
            lanes.put(key, lane);
        }
        return lane;
    }

    Iterable<Lane> lanes() {
        return lanes.values();
    }

    void add(Ticket ticket) {
        Flow flow = flow(ticket.request().customer());
        flow.advanceTo(virtualTime);
        activeFlows += flow.queued() == 0 ? 1 : 0;
        flow.added(ticket.costMicros());
        lane(ticket.laneKey()).add(ticket, flow, ++sequence);
        tickets.put(ticket.number(), ticket);
        ticket.setQueued(true);
        queuedMicros.merge(ticket.request().urgencyRank(), ticket.costMicros(), Double::sum);
    }

    /** Takes a ticket out without charging its customer. */
    boolean remove(Ticket ticket) {
        if (tickets.remove(ticket.number()) == null) {
            return false;
        }
        ticket.setQueued(false);
        Flow flow = flows.get(ticket.request().customer());
        lane(ticket.laneKey()).remove(ticket, flow);
        flow.removed(ticket.costMicros());
        activeFlows -= flow.queued() == 0 ? 1 : 0;
        queuedMicros.merge(ticket.request().urgencyRank(), -ticket.costMicros(), Double::sum);
        if (tickets.isEmpty()) {
            // Rounding errors of the sums must not pile up.
            queuedMicros.clear();
        }
        return true;
    }

    /** Takes a ticket out and charges its customer with the cost as it is known now. */
    void serve(Ticket ticket, double costMicros) {
        remove(ticket);
        virtualTime =
                Math.max(virtualTime, flows.get(ticket.request().customer()).charge(costMicros));
    }

    /**
     * Estimates the work that is served before a ticket that was added last: the earlier work of its customer and, of
     * each other customer, at most as much as this customer is ahead of the virtual time. Less urgent work waits behind
     * it.
     *
     * @param ticket a ticket in the queue
     * @param overtakes whether the ticket goes before more urgent work
     * @return the work in microseconds
     */
    double microsAhead(Ticket ticket, boolean overtakes) {
        Flow flow = flows.get(ticket.request().customer());
        double lead = Math.max(0, flow.virtualTime() - virtualTime) + flow.queuedMicros();
        int urgency = ticket.request().urgencyRank();
        double competing =
                queuedMicros.subMap(overtakes ? urgency : Integer.MIN_VALUE, true, urgency, true).values().stream()
                        .mapToDouble(Double::doubleValue)
                        .sum();
        return Math.max(0, Math.min(OVERTAKING * competing, activeFlows * lead) - ticket.costMicros());
    }

    private Flow flow(String customer) {
        Flow flow = flows.get(customer);
        if (flow == null) {
            if (flows.size() >= sweepAt) {
                flows.values().removeIf(idle -> idle.queued() == 0 && idle.virtualTime() <= virtualTime);
                sweepAt = Math.max(MIN_SWEEP, flows.size() * 2);
            }
            flow = new Flow();
            flows.put(customer, flow);
        }
        return flow;
    }
}
