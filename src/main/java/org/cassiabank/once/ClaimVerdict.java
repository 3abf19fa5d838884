package org.cassiabank.once;

import java.util.Objects;

/**
 * What an entry does after the keepers of a key have voted. After every verdict but {@link Proceed} the entry releases
 * the claim at all keepers, because it does not send the request.
 */
public sealed interface ClaimVerdict {

    /**
     * The request may be sent.
     */
    record Proceed() implements ClaimVerdict {}

    /**
     * The caller gets the answer that was recorded for the key.
     *
     * @param answer the recorded answer
     */
    record Replay(RecordedAnswer answer) implements ClaimVerdict {

        /**
         * Checks that the answer is not null.
         *
         * @param answer the answer, not null
         */
        public Replay {
            Objects.requireNonNull(answer, "answer");
        }
    }

    /**
     * The key was used before and the outcome of that request is not known.
     */
    record Unknown() implements ClaimVerdict {}

    /**
     * Another request with the key may be running.
     */
    record InProgress() implements ClaimVerdict {}

    /**
     * The request is not sent. This says nothing about an earlier request with the same key.
     *
     * @param reason the value of the header {@code Cassiabank-Reason}
     */
    record NotRun(String reason) implements ClaimVerdict {

        /**
         * Checks that the reason is not null.
         *
         * @param reason the reason, not null
         */
        public NotRun {
            Objects.requireNonNull(reason, "reason");
        }
    }

    /**
     * The key was used with a different request.
     */
    record Mismatch() implements ClaimVerdict {}
}
