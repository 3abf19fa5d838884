package org.cassiabank.declaration;

/**
 * What the operators declare about the cost of a selector's requests.
 */
public enum CostHint {
    /** The cost class is learned from the service times of the route. */
    LEARNED,
    /** The requests are short, whatever was measured. */
    SHORT,
    /** The requests run many times longer than the usual ones of the service. */
    LONG
}
