package org.cassiabank.declaration;

/**
 * The cost of a selector's requests, as declared by operators.
 */
public enum CostHint {
    /** The cost class is estimated from the measured service times of the route. */
    LEARNED,
    /** The cost class is short, regardless of the measured service times. */
    SHORT,
    /**
     * The cost class is long, regardless of the measured service times; the requests take many times longer than the
     * usual ones of the service.
     */
    LONG
}
