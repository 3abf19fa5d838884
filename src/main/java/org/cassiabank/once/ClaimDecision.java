package org.cassiabank.once;

import java.util.Objects;

/**
 * The decision of an entry proxy after the keepers of a key have voted. After every decision but {@link Proceed} the
 * entry proxy releases the claim at all keepers, because it does not send the request.
 */
public sealed interface ClaimDecision {

    /**
     * The request may be sent.
     */
    record Proceed() implements ClaimDecision {}

    /**
     * The caller gets the response that was recorded for the key.
     *
     * @param response the recorded response
     */
    record Replay(RecordedResponse response) implements ClaimDecision {

        /**
         * Creates the decision.
         *
         * @param response the recorded response
         * @throws NullPointerException if the response is null
         */
        public Replay {
            Objects.requireNonNull(response, "response");
        }
    }

    /**
     * The key was used before and the outcome of that request is not known.
     */
    record EarlierOutcomeUnknown() implements ClaimDecision {}

    /**
     * Another request with the key may be running.
     */
    record InProgress() implements ClaimDecision {}

    /**
     * The request is not sent. An earlier request with the same key may nevertheless have run or be running.
     *
     * @param reason the value of the header {@code Cassiabank-Reason}
     */
    record NotRun(String reason) implements ClaimDecision {

        /**
         * Creates the decision.
         *
         * @param reason the value of the header {@code Cassiabank-Reason}
         * @throws NullPointerException if the reason is null
         */
        public NotRun {
            Objects.requireNonNull(reason, "reason");
        }
    }

    /**
     * The key was used with a different request.
     */
    record Mismatch() implements ClaimDecision {}
}
