package org.cassiabank.backend;

import org.cassiabank.retry.AttemptResult;

/**
 * Why an attempt that may have run yielded no usable answer.
 */
public enum BrokenReason {
    /** No complete answer came in time. */
    TIMEOUT(AttemptResult.TIMEOUT),
    /** The connection ended before the head of an answer was complete. */
    CONNECTION_LOST(AttemptResult.CONNECTION_LOST),
    /** The body ended early, or its end cannot be recognized because neither length nor chunks are declared. */
    CUT_ANSWER(AttemptResult.CUT_ANSWER),
    /** The answer does not carry the identifier of this request. */
    WRONG_REQUEST_ID(AttemptResult.WRONG_REQUEST_ID),
    /** The body exceeds the limit. */
    ANSWER_TOO_LARGE(AttemptResult.ANSWER_TOO_LARGE);

    private final AttemptResult attemptResult;

    BrokenReason(AttemptResult attemptResult) {
        this.attemptResult = attemptResult;
    }

    /**
     * Returns the reason as the attempt policy needs it.
     *
     * @return the result of the attempt
     */
    public AttemptResult attemptResult() {
        return attemptResult;
    }
}
