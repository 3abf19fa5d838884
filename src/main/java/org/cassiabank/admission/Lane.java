package org.cassiabank.admission;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SequencedSet;

/**
 * The queued requests that the same servers can run, in order of arrival for each customer.
 *
 * <p>The virtual time of a customer only grows, also through requests in other lanes. An entry of the heap may
 * therefore be too early but never too late; when it reaches the front, it is inserted again with the current time.
 */
final class Lane {
    /** Empty queues are removed once the heap exceeds twice the number of customers with requests by more than this. */
    private static final int MAXIMUM_EMPTY_QUEUES = 64;

    private final LaneKey key;
    private final QueueOrder order;
    private final PriorityQueue<CustomerQueue> queueHeap =
            new PriorityQueue<>(Comparator.<CustomerQueue>comparingDouble(queue -> queue.heapVirtualTimeMicros)
                    .thenComparingLong(queue -> queue.arrivalOrder));
    private final Map<Flow, CustomerQueue> queuesByFlow = new HashMap<>();
    private ServerState[] candidates = {};
    private long candidatesPoolVersion = -1;
    private double queuedMicros;

    Lane(LaneKey key, QueueOrder order) {
        this.key = key;
        this.order = order;
    }

    LaneKey key() {
        return key;
    }

    boolean isEmpty() {
        return queuesByFlow.isEmpty();
    }

    double queuedMicros() {
        return queuedMicros;
    }

    void add(Ticket ticket, Flow flow, long arrivalOrder) {
        CustomerQueue queue = queuesByFlow.get(flow);
        if (queue == null) {
            queue = new CustomerQueue(flow, arrivalOrder);
            queuesByFlow.put(flow, queue);
            queueHeap.add(queue);
        }
        queue.tickets.add(ticket);
        queuedMicros += ticket.costMicros();
    }

    void remove(Ticket ticket, Flow flow) {
        CustomerQueue queue = queuesByFlow.get(flow);
        if (queue.tickets.remove(ticket) && queue.tickets.isEmpty()) {
            queuesByFlow.remove(flow);
        }
        queuedMicros = queuesByFlow.isEmpty() ? 0 : queuedMicros - ticket.costMicros();
        if (queueHeap.size() > 2 * queuesByFlow.size() + MAXIMUM_EMPTY_QUEUES) {
            queueHeap.removeIf(candidate -> candidate.tickets.isEmpty());
        }
    }

    /** Returns the ticket to serve first; the lane must not be empty. */
    Ticket firstTicket() {
        return frontQueue().tickets.getFirst();
    }

    /** Returns the virtual time of the customer of the first ticket in microseconds; the lane must not be empty. */
    double firstVirtualTimeMicros() {
        return frontQueue().heapVirtualTimeMicros;
    }

    /** Tells whether the first ticket is served before all others because its customer is starved. */
    boolean isFirstStarved() {
        return order.starvedFlows().stream().anyMatch(queuesByFlow::containsKey);
    }

    ServerState[] candidates(ServerPool pool) {
        if (candidatesPoolVersion != pool.version()) {
            candidatesPoolVersion = pool.version();
            candidates = pool.candidates(key);
        }
        return candidates;
    }

    private CustomerQueue frontQueue() {
        for (Flow flow : order.starvedFlows()) {
            CustomerQueue queue = queuesByFlow.get(flow);
            if (queue != null) {
                return queue;
            }
        }
        while (true) {
            CustomerQueue queue = queueHeap.element();
            if (queue.tickets.isEmpty()) {
                queueHeap.remove();
            } else if (queue.flow.virtualTimeMicros() > queue.heapVirtualTimeMicros) {
                queueHeap.remove();
                queue.heapVirtualTimeMicros = queue.flow.virtualTimeMicros();
                queueHeap.add(queue);
            } else {
                return queue;
            }
        }
    }

    /** The tickets of one customer in the lane, in order of arrival. */
    private static final class CustomerQueue {
        private final Flow flow;
        private final long arrivalOrder;
        private final SequencedSet<Ticket> tickets = new LinkedHashSet<>();
        private double heapVirtualTimeMicros;

        private CustomerQueue(Flow flow, long arrivalOrder) {
            this.flow = flow;
            this.arrivalOrder = arrivalOrder;
            this.heapVirtualTimeMicros = flow.virtualTimeMicros();
        }
    }
}
