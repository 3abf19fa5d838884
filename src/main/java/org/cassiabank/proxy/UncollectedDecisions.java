package org.cassiabank.proxy;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.cassiabank.admission.SlotDecision;

/**
 * Decisions about queued requests that were made while their entry proxies were between two polls. Not thread-safe.
 */
final class UncollectedDecisions {
    /** An entry proxy that still wants a slot polls again within this time. */
    private static final long COLLECTION_TIMEOUT_MILLIS = 500;

    private final Map<Long, UncollectedDecision> decisionsByTicket = new HashMap<>();

    boolean isEmpty() {
        return decisionsByTicket.isEmpty();
    }

    void add(long ticketId, SlotDecision decision, long nowMillis) {
        decisionsByTicket.put(ticketId, new UncollectedDecision(decision, nowMillis));
    }

    /** Removes and returns the decision about a ticket. */
    Optional<SlotDecision> collect(long ticketId) {
        return Optional.ofNullable(decisionsByTicket.remove(ticketId)).map(UncollectedDecision::decision);
    }

    /**
     * Removes the decisions that were not collected in time.
     *
     * @param nowMillis the current time in milliseconds
     * @param onAbandoned receives the ticket and the decision of each
     */
    void removeAbandoned(long nowMillis, BiConsumer<Long, SlotDecision> onAbandoned) {
        decisionsByTicket.entrySet().removeIf(entry -> {
            boolean abandoned = nowMillis - entry.getValue().decidedMillis() > COLLECTION_TIMEOUT_MILLIS;
            if (abandoned) {
                onAbandoned.accept(entry.getKey(), entry.getValue().decision());
            }
            return abandoned;
        });
    }

    /** A decision and the time in milliseconds at which it was made. */
    private record UncollectedDecision(SlotDecision decision, long decidedMillis) {}
}
