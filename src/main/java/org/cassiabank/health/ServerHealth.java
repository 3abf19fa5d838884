package org.cassiabank.health;

/**
 * The health state of a backend server, which decides how the scheduler uses it.
 */
public enum ServerHealth {
    /** The server gets requests. */
    HEALTHY,
    /** The server gets no requests. */
    EJECTED,
    /** The server gets one repeatable request at a time until it has given enough good responses. */
    PROBATION
}
