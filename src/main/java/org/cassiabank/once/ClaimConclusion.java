package org.cassiabank.once;

import java.util.Objects;

/**
 * The conclusion of a claim, which its entry proxy sends to the keepers of the key.
 */
public sealed interface ClaimConclusion {

    /**
     * The request ran and has a response.
     *
     * @param response the response to record for repeats of the request
     */
    record Answered(RecordedResponse response) implements ClaimConclusion {

        /**
         * Creates the conclusion.
         *
         * @param response the response to record for repeats of the request
         * @throws NullPointerException if the response is null
         */
        public Answered {
            Objects.requireNonNull(response, "response");
        }
    }

    /**
     * The request was sent and may have run; its outcome is not known.
     */
    record OutcomeUnknown() implements ClaimConclusion {}

    /**
     * The request was never sent or provably never ran, so that the claim no longer holds the key.
     */
    record Released() implements ClaimConclusion {}
}
