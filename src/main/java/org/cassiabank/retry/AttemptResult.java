package org.cassiabank.retry;

import java.util.Optional;

/**
 * The result of an attempt, which determines whether another attempt may follow.
 */
public enum AttemptResult {
    /** A complete response that is no server error. */
    ANSWERED("answered", false, null),
    /** A complete response with a server error. */
    SERVER_ERROR("server-error", false, RetryReason.SERVER_ERROR),
    /** A complete response whose status promises callers that the request did not run, without a proof. */
    UNPROVEN_REFUSAL("unproven-refusal", false, RetryReason.SERVER_ERROR),
    /** The server shed the request and stated that it did not run. */
    SHED("shed", true, RetryReason.SHED),
    /** The connection was not opened or no byte was written. */
    NOT_SENT("not-sent", true, RetryReason.NOT_SENT),
    /** No complete response came in time. */
    TIMEOUT("timeout", false, RetryReason.TIMEOUT),
    /** The connection ended after bytes were written and before a response began. */
    CONNECTION_LOST("connection-lost", false, RetryReason.CONNECTION_LOST),
    /** The response ended early. */
    TRUNCATED_RESPONSE("cut-answer", false, RetryReason.TRUNCATED_RESPONSE),
    /** The response carried the identifier of another request or none. */
    REQUEST_ID_MISMATCH("wrong-request-id", false, RetryReason.REQUEST_ID_MISMATCH),
    /** The head of the response holds bytes that cannot be passed on. */
    MALFORMED_HEAD("malformed-head", false, RetryReason.MALFORMED_HEAD),
    /** The response exceeded the limit. Another attempt would most likely exceed it too. */
    RESPONSE_TOO_LARGE("answer-too-large", false, null),
    /** The entry proxy cancelled the attempt after bytes were written; the request may have run. */
    CANCELLED("cancelled", false, null),
    /** The entry proxy cancelled the attempt before a byte was written. */
    CANCELLED_UNSENT("cancelled", true, null);

    private final String label;
    private final boolean provesNotRun;
    private final RetryReason retryReason;

    AttemptResult(String label, boolean provesNotRun, RetryReason retryReason) {
        this.label = label;
        this.provesNotRun = provesNotRun;
        this.retryReason = retryReason;
    }

    /**
     * Returns the text for the header {@code Cassiabank-Reason}, metrics and log lines.
     *
     * @return the label in lower case with hyphens
     */
    public String label() {
        return label;
    }

    /**
     * Tells whether the result proves that the request did not run.
     *
     * @return true if the request provably did not run
     */
    public boolean provesNotRun() {
        return provesNotRun;
    }

    /**
     * Returns the reason under which another attempt may follow.
     *
     * @return the reason, or empty if no attempt may follow, even for a repeatable request
     */
    public Optional<RetryReason> retryReason() {
        return Optional.ofNullable(retryReason);
    }
}
