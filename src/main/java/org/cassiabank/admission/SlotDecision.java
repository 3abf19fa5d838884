package org.cassiabank.admission;

/**
 * The result of a request for a slot: a lease, a refusal or a place in the queue.
 */
public sealed interface SlotDecision permits Granted, Refused, Queued {}
