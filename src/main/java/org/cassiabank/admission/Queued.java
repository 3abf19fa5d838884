package org.cassiabank.admission;

/**
 * The request waits in the queue of the owner.
 *
 * @param ticketId the number to renew the place in the queue with
 */
public record Queued(long ticketId) implements SlotDecision {}
