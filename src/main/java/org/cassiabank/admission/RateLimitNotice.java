package org.cassiabank.admission;

/**
 * What an attempt shows about the rate of requests that its server accepts.
 */
public sealed interface RateLimitNotice {

    /**
     * The response named a limit.
     *
     * @param requestsPerSecond the requests a second that the server accepts from all proxies together, at least 0
     */
    record Limited(double requestsPerSecond) implements RateLimitNotice {

        /**
         * Checks the rate.
         *
         * @param requestsPerSecond the requests a second that the server accepts from all proxies together, at least 0
         * @throws IllegalArgumentException if the rate is negative, infinite or not a number
         */
        public Limited {
            if (!(requestsPerSecond >= 0) || Double.isInfinite(requestsPerSecond)) {
                throw new IllegalArgumentException("a rate limit must be a finite rate, but is " + requestsPerSecond);
            }
        }
    }

    /** The server responded and named no valid limit. */
    record Unlimited() implements RateLimitNotice {}

    /** There was no response of the server. */
    record Unknown() implements RateLimitNotice {}
}
