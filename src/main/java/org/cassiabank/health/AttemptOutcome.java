package org.cassiabank.health;

/**
 * The outcome of an attempt at a backend server.
 */
public enum AttemptOutcome {
    /** The server sent a complete response that belongs to the request and is not a server error. */
    ANSWERED,
    /** The server responded with a server error or with the response of another request. */
    FAILED,
    /** The connection broke after bytes were written, or the response ended early. */
    BROKEN,
    /** The server sent bytes that are no valid response to the request, so its process has not ended. */
    SPOILED,
    /** No complete response arrived before the deadline of the attempt. */
    OVERDUE,
    /** The server provably did not execute the request. */
    NOT_RUN,
    /**
     * The entry proxy cancelled the attempt because its caller had disconnected or another attempt had been answered.
     */
    CANCELLED;

    /**
     * Tells whether an attempt with this outcome counts against its server.
     *
     * @return true if the server failed, or did not respond in time
     */
    public boolean isEvidenceAgainstServer() {
        return this == FAILED || this == BROKEN || this == SPOILED || this == OVERDUE;
    }
}
