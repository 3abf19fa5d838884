package org.cassiabank.admission;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SequencedSet;

/**
 * The queued requests that the same servers can take, in first-come order for each caller.
 *
 * <p>The virtual time of a caller only grows, also through requests in other lanes. An entry of the heap may therefore
 * be too early but never too late, and it is put back with its current time when it comes to the front.
 */
final class Lane {
    /** The number of empty caller queues that the heap may contain besides as many as there are others. */
    private static final int MAX_EMPTY = 64;

    private final LaneKey key;
    private final PriorityQueue<CallerQueue> heap = new PriorityQueue<>(
            Comparator.<CallerQueue>comparingDouble(queue -> queue.heapTime).thenComparingLong(queue -> queue.order));
    private final Map<Flow, CallerQueue> callers = new HashMap<>();
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
        return callers.isEmpty();
    }

    double queuedMicros() {
        return queuedMicros;
    }

    void add(Ticket ticket, Flow flow, long order) {
        CallerQueue queue = callers.get(flow);
        if (queue == null) {
            queue = new CallerQueue(flow, order);
            callers.put(flow, queue);
            heap.add(queue);
        }
        queue.tickets.add(ticket);
        queuedMicros += ticket.costMicros();
    }

    void remove(Ticket ticket, Flow flow) {
        CallerQueue queue = callers.get(flow);
        if (queue.tickets.remove(ticket) && queue.tickets.isEmpty()) {
            callers.remove(flow);
        }
        queuedMicros = callers.isEmpty() ? 0 : queuedMicros - ticket.costMicros();
        if (heap.size() > 2 * callers.size() + MAX_EMPTY) {
            heap.removeIf(empty -> empty.tickets.isEmpty());
        }
    }

    /** Returns the first ticket; the lane must not be empty. */
    Ticket first() {
        return front().tickets.getFirst();
    }

    /** Returns the virtual time of the caller of the first ticket; the lane must not be empty. */
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

    private CallerQueue front() {
        while (true) {
            CallerQueue queue = heap.element();
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

    /** The requests of one caller in the lane. */
    private static final class CallerQueue {
        private final Flow flow;
        private final long order;
        private final SequencedSet<Ticket> tickets = new LinkedHashSet<>();
        private double heapTime;

        private CallerQueue(Flow flow, long order) {
            this.flow = flow;
            this.order = order;
            this.heapTime = flow.virtualTime();
        }
    }
}
