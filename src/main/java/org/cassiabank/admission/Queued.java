package org.cassiabank.admission;

/**
 * The request waits in the queue of the owner.
 *
 * @param ticket the number to renew the place in the queue with
 */
public record Queued(long ticket) implements SlotDecision {}
