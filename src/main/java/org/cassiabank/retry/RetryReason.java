package org.cassiabank.retry;

/**
 * Why a request is sent once more. The label is the value of the metric label {@code reason}.
 */
public enum RetryReason {
    /** The server shed the request without running it. */
    SHED("shed"),
    /** The connection was not opened or no byte was written. */
    NOT_SENT("not-sent"),
    /** No complete answer came in time. */
    TIMEOUT("timeout"),
    /** The connection ended after bytes were written and before an answer began. */
    CONNECTION_LOST("connection-lost"),
    /** The answer ended early. */
    CUT_ANSWER("cut-answer"),
    /** The answer carried the identifier of another request or none. */
    WRONG_REQUEST_ID("wrong-request-id"),
    /** The server answered with a server error. */
    SERVER_ERROR("server-error"),
    /** The first attempt is slower than usual, so that a second one runs beside it. */
    HEDGE("hedge");

    private final String label;

    RetryReason(String label) {
        this.label = label;
    }

    /**
     * Returns the value of the metric label.
     *
     * @return the label in lower case
     */
    public String label() {
        return label;
    }
}
