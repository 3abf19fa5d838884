package org.cassiabank.health;

/**
 * How an attempt at a backend server ended.
 */
public enum AttemptOutcome {
    /** The server answered and the response was whole. */
    ANSWERED,
    /** The server answered with a server error or with the response of another request. */
    FAILED,
    /** The connection broke after bytes were written, or the response ended early. */
    BROKEN,
    /** No whole response came in time. */
    OVERDUE,
    /** The request provably never ran. */
    NOT_RUN,
    /** The entry proxy cancelled the attempt because its caller had gone or another attempt had answered. */
    CANCELLED
}
