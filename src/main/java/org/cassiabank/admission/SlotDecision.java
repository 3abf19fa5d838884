package org.cassiabank.admission;

/**
 * What the scheduler answers to a request for a slot.
 */
public sealed interface SlotDecision permits Granted, Refused, Queued {}
