package org.cassiabank.admission;

import java.util.Objects;

/**
 * The final decision about a queued request.
 *
 * @param ticketId the ticket of the request
 * @param decision a grant or a refusal
 */
public record TicketDecision(long ticketId, SlotDecision decision) {

    /**
     * Checks that the decision is there.
     */
    public TicketDecision {
        Objects.requireNonNull(decision, "decision");
    }
}
