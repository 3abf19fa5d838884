package org.cassiabank.admission;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SequencedSet;

/**
 * The queued requests that the same servers can run, in order of arrival for each customer. While fair admission is in
 * force, requests that can still meet their target go before late ones, and additional attempts before first ones.
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
            queue = new CustomerQueue(flow, order, arrivalOrder);
            queuesByFlow.put(flow, queue);
            queueHeap.add(queue);
        }
        queue.add(ticket);
        queuedMicros += ticket.costMicros();
    }

    void remove(Ticket ticket, Flow flow) {
        CustomerQueue queue = queuesByFlow.get(flow);
        if (queue.remove(ticket) && queue.isEmpty()) {
            queuesByFlow.remove(flow);
        }
        queuedMicros = queuesByFlow.isEmpty() ? 0 : queuedMicros - ticket.costMicros();
        if (queueHeap.size() > 2 * queuesByFlow.size() + MAXIMUM_EMPTY_QUEUES) {
            queueHeap.removeIf(CustomerQueue::isEmpty);
        }
    }

    /** Returns the ticket to serve first; the lane must not be empty. */
    Ticket firstTicket() {
        return frontQueue().first();
    }

    /** Returns the customer of the ticket to serve first; the lane must not be empty. */
    Flow firstFlow() {
        return frontQueue().flow;
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
            if (queue.isEmpty()) {
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

    /**
     * The tickets of one customer in the lane. A ticket moves to the late ones when it is the oldest of the others, so
     * that each ticket is examined once.
     */
    private static final class CustomerQueue {
        private final Flow flow;
        private final QueueOrder order;
        private final long arrivalOrder;
        private final SequencedSet<Ticket> tickets = new LinkedHashSet<>();
        private final SequencedSet<Ticket> lateTickets = new LinkedHashSet<>();
        private double heapVirtualTimeMicros;

        private CustomerQueue(Flow flow, QueueOrder order, long arrivalOrder) {
            this.flow = flow;
            this.order = order;
            this.arrivalOrder = arrivalOrder;
            this.heapVirtualTimeMicros = flow.virtualTimeMicros();
        }

        private boolean isEmpty() {
            return tickets.isEmpty() && lateTickets.isEmpty();
        }

        private void add(Ticket ticket) {
            // The request of an additional attempt has waited before.
            if (order.isFair() && ticket.request().hints().isAdditionalAttempt()) {
                tickets.addFirst(ticket);
            } else {
                tickets.add(ticket);
            }
        }

        private boolean remove(Ticket ticket) {
            return tickets.remove(ticket) || lateTickets.remove(ticket);
        }

        private Ticket first() {
            while (order.isFair() && !tickets.isEmpty() && !tickets.getFirst().isTimely(order.nowMillis())) {
                lateTickets.add(tickets.removeFirst());
            }
            if (lateTickets.isEmpty()) {
                return tickets.getFirst();
            }
            return tickets.isEmpty() || !order.isFair() || flow.isLateTurn()
                    ? lateTickets.getFirst()
                    : tickets.getFirst();
        }
    }
}
