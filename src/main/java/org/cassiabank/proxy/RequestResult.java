package org.cassiabank.proxy;

import java.util.Objects;
import org.cassiabank.backend.ResponseReceived;

/**
 * What the run of a request ended in.
 */
sealed interface RequestResult {

    static RequestResult answered(ResponseReceived response) {
        return new Delivered(response);
    }

    static RequestResult notRun(String reason, long retryAfterMillis) {
        return new NotRun(reason, retryAfterMillis);
    }

    static RequestResult unknown(String reason) {
        return new Unknown(reason);
    }

    /**
     * A backend server answered.
     *
     * @param response the whole response
     */
    record Delivered(ResponseReceived response) implements RequestResult {

        /**
         * Checks that the response is not null.
         */
        public Delivered {
            Objects.requireNonNull(response, "response");
        }
    }

    /**
     * The request provably did not run.
     *
     * @param reason why, for the header {@code Cassiabank-Reason}
     * @param retryAfterMillis when to come back, in milliseconds, 0 if there is no advice
     */
    record NotRun(String reason, long retryAfterMillis) implements RequestResult {}

    /**
     * The request may have run.
     *
     * @param reason why, for the header {@code Cassiabank-Reason}
     */
    record Unknown(String reason) implements RequestResult {}
}
