package org.cassiabank.backend;

import org.cassiabank.retry.AttemptResult;

/**
 * Why an attempt that may have run yielded no valid response.
 */
public enum NoValidResponseReason {
    /** No complete response was received before the timeout. */
    TIMEOUT(AttemptResult.TIMEOUT),
    /** The connection closed before the head of a response was complete. */
    CONNECTION_LOST(AttemptResult.CONNECTION_LOST),
    /** The body ended early, or it ends with the connection, which the {@link HeaderConventions} do not allow. */
    TRUNCATED_RESPONSE(AttemptResult.TRUNCATED_RESPONSE),
    /** The body holds the beginning of another response, or bytes follow it that may belong to it. */
    JOINED_RESPONSES(AttemptResult.TRUNCATED_RESPONSE),
    /** The response does not carry the identifier of this request, or lacks a required signature. */
    REQUEST_ID_MISMATCH(AttemptResult.REQUEST_ID_MISMATCH),
    /**
     * The status or a header of the response cannot be passed on unchanged, as after a spoiled byte, or the head does
     * not show where the body ends.
     */
    MALFORMED_HEAD(AttemptResult.MALFORMED_HEAD),
    /**
     * The body exceeds {@link BackendClientSettings#maximumResponseBytes()}, too many bytes arrived outside of it, or
     * it was the largest response when all together exceeded the {@link ResponseMemory}.
     */
    RESPONSE_TOO_LARGE(AttemptResult.RESPONSE_TOO_LARGE);

    private final AttemptResult attemptResult;

    NoValidResponseReason(AttemptResult attemptResult) {
        this.attemptResult = attemptResult;
    }

    /**
     * Classifies the reason for the retry policy.
     *
     * @return the result of the attempt
     */
    public AttemptResult attemptResult() {
        return attemptResult;
    }
}
