package org.cassiabank.once;

import java.util.Objects;

/**
 * How a claim ended.
 */
public sealed interface ClaimConclusion {

    /**
     * The request ran and has an answer.
     *
     * @param answer the answer to keep
     */
    record Answered(RecordedAnswer answer) implements ClaimConclusion {

        /**
         * Checks that the answer is not null.
         *
         * @param answer the answer, not null
         */
        public Answered {
            Objects.requireNonNull(answer, "answer");
        }
    }

    /**
     * The request was sent and its outcome is not known.
     */
    record OutcomeUnknown() implements ClaimConclusion {}

    /**
     * The request was never sent or provably never ran, so that the key becomes free.
     */
    record Released() implements ClaimConclusion {}
}
