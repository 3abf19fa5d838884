package org.cassiabank.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * The times at which queued requests have to be looked at again, because their deadlines or tickets may have expired.
 */
final class TicketTimers {
    /** Stale timers are removed when the number of timers exceeds twice the queued requests by more than this. */
    private static final int STALE_TIMER_ALLOWANCE = 1024;

    private final PriorityQueue<Timer> timers = new PriorityQueue<>(Comparator.comparingLong(Timer::dueMillis));

    void add(Ticket ticket, long dueMillis) {
        timers.add(new Timer(dueMillis, ticket));
    }

    /** Removes the timers that are due and returns their tickets, without those that are not queued any longer. */
    List<Ticket> removeDue(long nowMillis) {
        if (timers.isEmpty() || timers.element().dueMillis() > nowMillis) {
            return List.of();
        }
        List<Ticket> due = new ArrayList<>();
        while (!timers.isEmpty() && timers.element().dueMillis() <= nowMillis) {
            Ticket ticket = timers.remove().ticket();
            if (ticket.isQueued()) {
                due.add(ticket);
            }
        }
        return due;
    }

    /** Removes the timers of tickets that are not queued any longer if there are many of them. */
    void removeStale(int queuedRequests) {
        if (timers.size() > 2 * queuedRequests + STALE_TIMER_ALLOWANCE) {
            timers.removeIf(timer -> !timer.ticket().isQueued());
        }
    }

    private record Timer(long dueMillis, Ticket ticket) {}
}
