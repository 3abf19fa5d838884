package org.cassiabank.admission;

import java.util.Objects;

/**
 * The final decision about a queued request.
 *
 * @param ticketId the identifier from {@link Queued#ticketId()}
 * @param decision a grant or a refusal
 */
public record TicketDecision(long ticketId, SlotDecision decision) {

    /**
     * Checks the decision.
     *
     * @throws NullPointerException if the decision is null
     */
    public TicketDecision {
        Objects.requireNonNull(decision, "decision");
    }
}
