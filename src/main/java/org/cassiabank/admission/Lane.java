package org.cassiabank.admission;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SequencedSet;

/**
 * The queued requests that the same servers can take, in first-come order for each customer.
 *
 * <p>The virtual time of a customer only grows, also through requests in other lanes. An entry of the heap may
 * therefore be too early but never too late, and it is put back with its current time when it comes to the front.
 */
final class Lane {
    /** The number of empty customer queues that the heap may contain besides as many as there are others. */
    private static final int MAX_EMPTY = 64;

    private final LaneKey key;
    private final PriorityQueue<CustomerQueue> heap = new PriorityQueue<>(
            Comparator.<CustomerQueue>comparingDouble(queue -> queue.heapTime).thenComparingLong(queue -> queue.order));
    private final Map<Flow, CustomerQueue> customers = new HashMap<>();
    private ServerState[] candidates = {};
    private long candidatesVersion = -1;
    private double queuedMicros;

    Lane(LaneKey key) {
        this.key = key;
    }

    LaneKey key() {
        return key;
    }

    boolean isEmpty() {
        return customers.isEmpty();
    }

    double queuedMicros() {
        return queuedMicros;
    }

    void add(Ticket ticket, Flow flow, long order) {
        CustomerQueue queue = customers.get(flow);
        if (queue == null) {
            queue = new CustomerQueue(flow, order);
            customers.put(flow, queue);
            heap.add(queue);
        }
        queue.tickets.add(ticket);
        queuedMicros += ticket.costMicros();
    }

    void remove(Ticket ticket, Flow flow) {
        CustomerQueue queue = customers.get(flow);
        if (queue.tickets.remove(ticket) && queue.tickets.isEmpty()) {
            customers.remove(flow);
        }
        queuedMicros = customers.isEmpty() ? 0 : queuedMicros - ticket.costMicros();
        if (heap.size() > 2 * customers.size() + MAX_EMPTY) {
            heap.removeIf(empty -> empty.tickets.isEmpty());
        }
    }

    /** Returns the first ticket; the lane must not be empty. */
    Ticket first() {
        return front().tickets.getFirst();
    }

    /** Returns the virtual time of the customer of the first ticket; the lane must not be empty. */
    double firstTime() {
        return front().heapTime;
    }

    ServerState[] candidates(ServerPool pool) {
        if (candidatesVersion != pool.version()) {
            candidatesVersion = pool.version();
            candidates = pool.matching(key);
        }
        return candidates;
    }

    private CustomerQueue front() {
        while (true) {
            CustomerQueue queue = heap.element();
            if (queue.tickets.isEmpty()) {
                heap.remove();
            } else if (queue.flow.virtualTime() > queue.heapTime) {
                heap.remove();
                queue.heapTime = queue.flow.virtualTime();
                heap.add(queue);
            } else {
                return queue;
            }
        }
    }

    /** The requests of one customer in the lane. */
    private static final class CustomerQueue {
        private final Flow flow;
        private final long order;
        private final SequencedSet<Ticket> tickets = new LinkedHashSet<>();
        private double heapTime;

        private CustomerQueue(Flow flow, long order) {
            this.flow = flow;
            this.order = order;
            this.heapTime = flow.virtualTime();
        }
    }
}
