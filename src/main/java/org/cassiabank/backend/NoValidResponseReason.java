package org.cassiabank.backend;

import org.cassiabank.retry.AttemptResult;

/**
 * Why an attempt that may have run yielded no usable response.
 */
public enum NoValidResponseReason {
    /** No complete response came in time. */
    TIMEOUT(AttemptResult.TIMEOUT),
    /** The connection ended before the head of a response was complete. */
    CONNECTION_LOST(AttemptResult.CONNECTION_LOST),
    /** The body ended early, or its end cannot be recognized because neither length nor chunks are declared. */
    TRUNCATED_RESPONSE(AttemptResult.TRUNCATED_RESPONSE),
    /** The response does not carry the identifier of this request. */
    REQUEST_ID_MISMATCH(AttemptResult.REQUEST_ID_MISMATCH),
    /** The body exceeds the limit. */
    RESPONSE_TOO_LARGE(AttemptResult.RESPONSE_TOO_LARGE);

    private final AttemptResult attemptResult;

    NoValidResponseReason(AttemptResult attemptResult) {
        this.attemptResult = attemptResult;
    }

    /**
     * Returns the reason as the retry policy needs it.
     *
     * @return the result of the attempt
     */
    public AttemptResult attemptResult() {
        return attemptResult;
    }
}
