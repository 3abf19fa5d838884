package org.cassiabank.retry;

/**
 * Why another attempt at a request is made. Its label is the value of the metric label {@code reason}.
 */
public enum RetryReason {
    /** The server shed the request without running it. */
    SHED("shed"),
    /** The connection was not opened or no byte was written. */
    NOT_SENT("not-sent"),
    /** No complete response came in time. */
    TIMEOUT("timeout"),
    /** The connection ended after bytes were written and before a response began. */
    CONNECTION_LOST("connection-lost"),
    /** The response ended early. */
    TRUNCATED_RESPONSE("cut-answer"),
    /** The response carried the identifier of another request or none. */
    REQUEST_ID_MISMATCH("wrong-request-id"),
    /** The head of the response cannot be passed on. */
    MALFORMED_HEAD("malformed-head"),
    /** The response reported a server error. */
    SERVER_ERROR("server-error"),
    /** The first attempt is slower than usual, and a second one starts while it is running. */
    HEDGE("hedge");

    private final String label;

    RetryReason(String label) {
        this.label = label;
    }

    /**
     * Returns the value of the metric label {@code reason}.
     *
     * @return the label in lower case with hyphens
     */
    public String label() {
        return label;
    }
}
