package org.cassiabank.retry;

import java.util.Objects;

/**
 * What follows an attempt.
 */
public sealed interface RetryDecision {

    /**
     * The caller gets the response of the last attempt.
     */
    record DeliverResponse() implements RetryDecision {}

    /**
     * The request is sent once more, to another server where possible.
     *
     * @param reason why, for the budget and the metric
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
     * The caller is told that its request was not run.
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
     * The caller is told that the outcome of its request is not known.
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
