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
 * <p>Each customer has a virtual time, in microseconds of work, that advances by the cost of its requests, divided by
 * its weight while fair admission is in force; the request whose customer has the earliest time is first. A customer
 * that was idle continues at the virtual time of the queue, so that it accumulates no credit. Requests that the same
 * servers can run form a lane, because a free slot can be granted to some of the lanes only.
 */
final class FairQueue {
    /** Empty lanes are removed when a lane is added beyond this number, because each decision examines all lanes. */
    private static final int MAXIMUM_LANES = 32;

    /**
     * The smallest number of flows at which idle flows are removed; the threshold grows to twice the remaining flows.
     */
    private static final int MINIMUM_SWEEP_FLOWS = 1024;

    /**
     * Raises the estimate of the work ahead, because in overload later requests of customers with less queued work are
     * served before those of customers with more. With this factor 0.2% instead of 3.7% of the refusals come late at 3
     * times the capacity and a deadline of 300 ms.
     */
    private static final double OVERTAKING_FACTOR = 1.25;

    private final QueueOrder order = new QueueOrder();
    private final Map<LaneKey, Lane> lanesByKey = new HashMap<>();
    private final Map<String, Flow> flowsByCustomer = new HashMap<>();
    private final Map<Long, Ticket> ticketsById = new LinkedHashMap<>();
    private final TreeMap<Integer, Double> queuedMicrosByUrgency = new TreeMap<>();
    private double virtualTimeMicros;
    /** The sum of the weights of the customers with queued requests. */
    private double activeWeight;

    private int flowSweepThreshold = MINIMUM_SWEEP_FLOWS;
    private long lastArrivalOrder;

    QueueOrder order() {
        return order;
    }

    boolean isStarved(Ticket ticket) {
        return order.starvedFlows()
                .contains(flowsByCustomer.get(ticket.request().customer()));
    }

    /** Serves the queued requests of a starved customer before those of all others, or stops doing so. */
    void setStarved(String customer, boolean starved) {
        Flow flow = flowsByCustomer.get(customer);
        if (starved && flow != null && flow.queuedRequests() > 0) {
            order.starvedFlows().add(flow);
        } else if (flow != null) {
            order.starvedFlows().remove(flow);
        }
    }

    int size() {
        return ticketsById.size();
    }

    boolean isEmpty() {
        return ticketsById.isEmpty();
    }

    int queuedRequests(String customer) {
        Flow flow = flowsByCustomer.get(customer);
        return flow == null ? 0 : flow.queuedRequests();
    }

    Optional<Ticket> find(long ticketId) {
        return Optional.ofNullable(ticketsById.get(ticketId));
    }

    Optional<Ticket> oldestTicket() {
        return ticketsById.isEmpty()
                ? Optional.empty()
                : Optional.of(ticketsById.values().iterator().next());
    }

    List<Ticket> ticketsMatching(Predicate<Ticket> condition) {
        return ticketsById.values().stream().filter(condition).toList();
    }

    Lane laneFor(LaneKey key) {
        Lane lane = lanesByKey.get(key);
        if (lane == null) {
            if (lanesByKey.size() >= MAXIMUM_LANES) {
                lanesByKey.values().removeIf(Lane::isEmpty);
            }
            lane = new Lane(key, order);
            lanesByKey.put(key, lane);
        }
        return lane;
    }

    Iterable<Lane> lanes() {
        return lanesByKey.values();
    }

    void add(Ticket ticket) {
        Flow flow = flowFor(ticket.request().customer());
        flow.advanceIdleTo(virtualTimeMicros);
        double weight = order.isFair() ? ticket.request().customerWeight() : 1;
        activeWeight += flow.queuedRequests() == 0 ? weight : weight - flow.weight();
        flow.setWeight(weight);
        flow.recordAdded(ticket.costMicros());
        ticket.setQueueMarkMicros(flow.addedMicros());
        laneFor(ticket.laneKey()).add(ticket, flow, ++lastArrivalOrder);
        ticketsById.put(ticket.id(), ticket);
        ticket.setQueued(true);
        queuedMicrosByUrgency.merge(ticket.request().urgencyRank(), ticket.costMicros(), Double::sum);
    }

    /** Removes a ticket without charging its customer; returns false if it was not queued. */
    boolean remove(Ticket ticket) {
        if (ticketsById.remove(ticket.id()) == null) {
            return false;
        }
        ticket.setQueued(false);
        Flow flow = flowsByCustomer.get(ticket.request().customer());
        laneFor(ticket.laneKey()).remove(ticket, flow);
        flow.recordRemoved(ticket.costMicros());
        if (flow.queuedRequests() == 0) {
            activeWeight -= flow.weight();
            order.starvedFlows().remove(flow);
        }
        queuedMicrosByUrgency.merge(ticket.request().urgencyRank(), -ticket.costMicros(), Double::sum);
        if (ticketsById.isEmpty()) {
            // Rounding errors of the sums must not accumulate.
            queuedMicrosByUrgency.clear();
            activeWeight = 0;
        }
        return true;
    }

    /** Removes a ticket and charges its customer the given cost, the current estimate in microseconds. */
    void removeAndCharge(Ticket ticket, double costMicros) {
        Flow flow = flowsByCustomer.get(ticket.request().customer());
        boolean starved = order.starvedFlows().contains(flow);
        remove(ticket);
        flow.recordGrant(ticket.isTimely(order.nowMillis()));
        double startMicros = flow.charge(costMicros);
        // A starved customer is served out of turn; its time would set back the customers that come from idleness.
        if (!starved) {
            virtualTimeMicros = Math.max(virtualTimeMicros, startMicros);
        }
    }

    /**
     * Estimates the work that is served before a ticket: the earlier work of its customer and, of each other customer,
     * at most as much as this customer is ahead of the virtual time of the queue. Less urgent work
     * is served later and not counted.
     *
     * @param ticket the ticket; unless fair admission is in force, the one that was added last
     * @param overtakesUrgentWork whether the ticket is served before more urgent work
     * @return the work in microseconds
     */
    double workAheadMicros(Ticket ticket, boolean overtakesUrgentWork) {
        Flow flow = flowsByCustomer.get(ticket.request().customer());
        double customerMicros = order.isFair() ? flow.queuedMicrosUpTo(ticket.queueMarkMicros()) : flow.queuedMicros();
        double leadMicros = Math.max(0, flow.virtualTimeMicros() - virtualTimeMicros) + customerMicros / flow.weight();
        if (order.starvedFlows().contains(flow)) {
            return Math.max(0, customerMicros - ticket.costMicros());
        }
        int urgencyRank = ticket.request().urgencyRank();
        double competingMicros = queuedMicrosByUrgency
                .subMap(overtakesUrgentWork ? urgencyRank : Integer.MIN_VALUE, true, urgencyRank, true)
                .values()
                .stream()
                .mapToDouble(Double::doubleValue)
                .sum();
        return Math.max(
                0, Math.min(OVERTAKING_FACTOR * competingMicros, activeWeight * leadMicros) - ticket.costMicros());
    }

    /** Returns the work of its customer that was queued before a ticket, in microseconds. */
    double earlierWorkOfCustomerMicros(Ticket ticket) {
        Flow flow = flowsByCustomer.get(ticket.request().customer());
        return Math.max(0, flow.queuedMicrosUpTo(ticket.queueMarkMicros()) - ticket.costMicros());
    }

    private Flow flowFor(String customer) {
        Flow flow = flowsByCustomer.get(customer);
        if (flow == null) {
            if (flowsByCustomer.size() >= flowSweepThreshold) {
                flowsByCustomer
                        .values()
                        .removeIf(idle -> idle.queuedRequests() == 0 && idle.virtualTimeMicros() <= virtualTimeMicros);
                flowSweepThreshold = Math.max(MINIMUM_SWEEP_FLOWS, flowsByCustomer.size() * 2);
            }
            flow = new Flow();
            flowsByCustomer.put(customer, flow);
        }
        return flow;
    }
}
