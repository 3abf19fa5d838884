package org.cassiabank.proxy;

import java.util.Objects;
import org.cassiabank.backend.ResponseReceived;

/**
 * The result of running a request.
 */
sealed interface RequestResult {

    static RequestResult delivered(ResponseReceived response) {
        return new Delivered(response);
    }

    static RequestResult notRun(String reason, long retryAfterMillis) {
        return new NotRun(reason, retryAfterMillis);
    }

    static RequestResult unknown(String reason) {
        return new Unknown(reason);
    }

    /**
     * A backend server responded.
     *
     * @param response the response, read in full
     */
    record Delivered(ResponseReceived response) implements RequestResult {

        /**
         * Checks that the response is not null.
         *
         * @throws NullPointerException if the response is null
         */
        public Delivered {
            Objects.requireNonNull(response, "response");
        }
    }

    /**
     * The request provably did not run.
     *
     * @param reason the reason, the value of the header {@code Cassiabank-Reason}
     * @param retryAfterMillis the delay after which the caller may retry, in milliseconds, 0 if none is advised
     */
    record NotRun(String reason, long retryAfterMillis) implements RequestResult {}

    /**
     * The request may have run.
     *
     * @param reason the reason, the value of the header {@code Cassiabank-Reason}
     */
    record Unknown(String reason) implements RequestResult {}
}
