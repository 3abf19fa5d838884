package org.cassiabank.retry;

import java.util.Objects;

/**
 * The next step after an attempt ended.
 */
public sealed interface RetryDecision {

    /**
     * The response of the last attempt is delivered to the caller.
     */
    record DeliverResponse() implements RetryDecision {}

    /**
     * Another attempt is made, at another server where possible.
     *
     * @param reason why it is made, for the retry budget and the metric
     */
    record Retry(RetryReason reason) implements RetryDecision {

        /**
         * Checks that the reason is not null.
         *
         * @param reason the reason, not null
         */
        public Retry {
            Objects.requireNonNull(reason, "reason");
        }
    }

    /**
     * The caller receives the outcome that its request did not run.
     *
     * @param reason the value of the header {@code Cassiabank-Reason}
     */
    record ReportNotRun(String reason) implements RetryDecision {

        /**
         * Checks that the reason is not null.
         *
         * @param reason the reason, not null
         */
        public ReportNotRun {
            Objects.requireNonNull(reason, "reason");
        }
    }

    /**
     * The caller receives the outcome that it is unknown whether its request ran.
     *
     * @param reason the value of the header {@code Cassiabank-Reason}
     */
    record ReportUnknownOutcome(String reason) implements RetryDecision {

        /**
         * Checks that the reason is not null.
         *
         * @param reason the reason, not null
         */
        public ReportUnknownOutcome {
            Objects.requireNonNull(reason, "reason");
        }
    }
}
