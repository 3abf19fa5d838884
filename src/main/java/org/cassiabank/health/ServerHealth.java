package org.cassiabank.health;

/**
 * The verdict on a backend server that the scheduler acts on.
 */
public enum ServerHealth {
    /** The server takes work. */
    HEALTHY,
    /** The server takes no work. */
    EJECTED,
    /** The server takes one repeatable request at a time until it has proven itself. */
    PROBATION
}
