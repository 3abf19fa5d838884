package org.cassiabank.load;

/**
 * The outcome of a request as its caller observed it. Reports contain the names of the constants.
 */
public enum ObservedOutcome {
    /** A complete response of a backend server to this request, with a status below 500. */
    ANSWERED,
    /** A response of a backend server with a server error. */
    FAILED,
    /** A refusal that states that the request did not run. */
    NOT_RUN,
    /** A response that states that it is unknown whether the request ran. */
    UNKNOWN,
    /** The connection broke visibly before the response was complete. */
    BROKEN,
    /** The connection could not be opened. */
    NOT_CONNECTED,
    /** No complete response within the caller's timeout, which is longer than the deadline; never allowed. */
    SILENT,
    /** A response that is incomplete or belongs to another request; never allowed. */
    WRONG,
    /** A response of a proxy without a valid outcome header or without a required reason; never allowed. */
    UNMARKED;

    /**
     * Returns whether the outcome violates the guarantees to callers, regardless of the faults that are present.
     *
     * @return true for outcomes that no caller may observe
     */
    public boolean isForbidden() {
        return this == WRONG || this == UNMARKED || this == SILENT;
    }

    /**
     * Returns whether the outcome is a failure in a fleet without faults.
     *
     * @return true for every outcome but {@link #ANSWERED} and {@link #NOT_RUN}
     */
    public boolean isInterrupted() {
        return this != ANSWERED && this != NOT_RUN;
    }
}
