package org.cassiabank.retry;

import java.util.Objects;

/**
 * The state of a request after an attempt ended, from which {@link RetryPolicy} decides the next step.
 *
 * @param repeatable whether the selector allows the request to run more than once
 * @param result how the last attempt ended
 * @param earlierAttemptsNotRun whether every earlier attempt provably did not run; true if there was none
 * @param attemptCount how many attempts count against the limit, hedges and the last one included, not negative
 * @param remainingMillis the time until the caller's deadline in milliseconds, may be negative
 * @param maximumAttempts the maximum number of attempts for the request, hedges included
 * @param budgetAvailable whether the retry budget has a token for another attempt
 */
public record RetryContext(
        boolean repeatable,
        AttemptResult result,
        boolean earlierAttemptsNotRun,
        int attemptCount,
        long remainingMillis,
        int maximumAttempts,
        boolean budgetAvailable) {

    /**
     * Checks the result and the number of attempts.
     *
     * @throws NullPointerException if the result is null
     * @throws IllegalArgumentException if the number of attempts is negative
     */
    public RetryContext {
        Objects.requireNonNull(result, "result");
        if (attemptCount < 0) {
            throw new IllegalArgumentException("the number of attempts is negative: " + attemptCount);
        }
    }

    /**
     * Creates the state of a request with the default maximum of {@value RetryPolicy#DEFAULT_MAXIMUM_ATTEMPTS}
     * attempts.
     *
     * @param repeatable whether the selector allows the request to run more than once
     * @param result how the last attempt ended
     * @param earlierAttemptsNotRun whether every earlier attempt provably did not run; true if there was none
     * @param attemptCount how many attempts were made, hedges and the last one included, at least 1
     * @param remainingMillis the time until the caller's deadline in milliseconds, may be negative
     * @param budgetAvailable whether the retry budget has a token for another attempt
     * @return the state
     */
    public static RetryContext withDefaultMaximum(
            boolean repeatable,
            AttemptResult result,
            boolean earlierAttemptsNotRun,
            int attemptCount,
            long remainingMillis,
            boolean budgetAvailable) {
        return new RetryContext(
                repeatable,
                result,
                earlierAttemptsNotRun,
                attemptCount,
                remainingMillis,
                RetryPolicy.DEFAULT_MAXIMUM_ATTEMPTS,
                budgetAvailable);
    }

    /**
     * Tells whether every attempt, the last one included, provably did not run.
     *
     * @return true if the request has not run at any server
     */
    public boolean provablyNotRun() {
        return earlierAttemptsNotRun && result.provesNotRun();
    }

    /**
     * Returns a copy of the state without a token in the retry budget.
     *
     * @return the state from which to decide after {@link RetryBudget#trySpend} returned false
     */
    public RetryContext withoutBudget() {
        return new RetryContext(
                repeatable, result, earlierAttemptsNotRun, attemptCount, remainingMillis, maximumAttempts, false);
    }
}
