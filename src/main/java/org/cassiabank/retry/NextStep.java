package org.cassiabank.retry;

import java.util.Objects;

/**
 * What follows an attempt.
 */
public sealed interface NextStep {

    /**
     * The caller gets the answer of the last attempt.
     */
    record Deliver() implements NextStep {}

    /**
     * The request is sent once more, to another server where possible.
     *
     * @param reason why, for the budget and the metric
     */
    record Retry(RetryReason reason) implements NextStep {

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
    record RefuseNotRun(String reason) implements NextStep {

        /**
         * Checks that the reason is not null.
         *
         * @param reason the reason, not null
         */
        public RefuseNotRun {
            Objects.requireNonNull(reason, "reason");
        }
    }

    /**
     * The caller is told that the outcome of its request is not known.
     *
     * @param reason the value of the header {@code Cassiabank-Reason}
     */
    record AnswerUnknown(String reason) implements NextStep {

        /**
         * Checks that the reason is not null.
         *
         * @param reason the reason, not null
         */
        public AnswerUnknown {
            Objects.requireNonNull(reason, "reason");
        }
    }
}
