package org.cassiabank.once;

import java.util.Objects;

/**
 * How a claim ended.
 */
public sealed interface ClaimConclusion {

    /**
     * The request ran and has a response.
     *
     * @param response the response to keep
     */
    record Answered(RecordedResponse response) implements ClaimConclusion {

        /**
         * Checks that the response is not null.
         *
         * @param response the response, not null
         */
        public Answered {
            Objects.requireNonNull(response, "response");
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
