package org.cassiabank.health;

/**
 * How an attempt at a backend server ended.
 */
public enum Outcome {
    /** The server answered and the answer was whole. */
    ANSWERED,
    /** The server answered with a server error or with the answer of another request. */
    FAILED,
    /** The connection broke after bytes were written, or the answer ended early. */
    BROKEN,
    /** No whole answer came in time. */
    OVERDUE,
    /** The request provably never ran. */
    NOT_RUN,
    /** The entry cancelled the attempt because its caller had gone or another attempt had answered. */
    CANCELLED
}
