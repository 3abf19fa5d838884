package org.cassiabank.admission;

/**
 * The decision that a request waits in the queue of the shard's owner.
 *
 * @param ticketId the identifier with which the place in the queue is renewed or cancelled
 */
public record Queued(long ticketId) implements SlotDecision {}
