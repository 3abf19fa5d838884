package org.cassiabank.proxy;

import org.cassiabank.admission.SlotDecision;

/**
 * A decision that was made at {@code decidedMillis} while its entry proxy was between two polls.
 */
record UncollectedDecision(SlotDecision decision, long decidedMillis) {}
