package org.cassiabank.declaration;

/**
 * The cost of a selector's requests, as declared by operators.
 */
public enum CostHint {
    /** The cost class is estimated from the measured service times of the route. */
    LEARNED,
    /** The requests are short, regardless of measured service times. */
    SHORT,
    /** The requests take many times longer than the usual ones of the service, regardless of measured times. */
    LONG
}
