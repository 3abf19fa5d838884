package org.cassiabank.health;

/**
 * How an attempt at a backend server ended.
 */
public enum Outcome {
    /** The server answered and the answer was whole. */
    ANSWERED,
    /** The server answered with a server error or with the answer of another request. */
    FAILED,
    /** No whole answer came in time, or the connection broke after bytes were written. */
    BROKEN,
    /** The request provably never ran. */
    NOT_RUN,
    /** The entry cancelled the attempt because its caller had gone or another attempt had answered. */
    CANCELLED
}
