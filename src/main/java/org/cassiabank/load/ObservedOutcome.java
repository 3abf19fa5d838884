package org.cassiabank.load;

/**
 * What a caller learned about its request.
 */
public enum ObservedOutcome {
    /** A whole response of a backend server to this request, with a status below 500. */
    ANSWERED,
    /** A backend server's own response with a server error. */
    FAILED,
    /** A refusal that says that the request did not run. */
    NOT_RUN,
    /** A response that says that the outcome is unknown. */
    UNKNOWN,
    /** The connection broke visibly before the response was complete. */
    BROKEN,
    /** The connection could not be opened. */
    NOT_CONNECTED,
    /** Nothing came within the caller's patience, which is longer than the deadline. */
    SILENT,
    /** A response that is not whole or belongs to another request; never allowed. */
    WRONG,
    /** A reply of the proxy without a valid outcome header; never allowed. */
    UNMARKED;

    /**
     * Tells whether the response contradicts the guarantees whatever faults are present.
     *
     * @return true for responses that no caller may get
     */
    public boolean isForbidden() {
        return this == WRONG || this == UNMARKED || this == SILENT;
    }

    /**
     * Tells whether a caller of a fleet without faults would complain.
     *
     * @return true for everything but a response or a refusal
     */
    public boolean isInterrupted() {
        return this != ANSWERED && this != NOT_RUN;
    }
}
