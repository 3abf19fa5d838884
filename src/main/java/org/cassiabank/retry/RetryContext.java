package org.cassiabank.retry;

import java.util.Objects;

/**
 * What is known about a request after an attempt ended.
 *
 * @param repeatable whether the selector allows the request to run more than once
 * @param result how the last attempt ended
 * @param earlierNotRun whether every earlier attempt provably did not run; true if there was none
 * @param attempts how many attempts count against the limit, hedges and the last one included
 * @param remainingMillis the time until the caller's deadline in milliseconds, may be negative
 * @param maximumAttempts the most attempts for the request, hedges included
 * @param budgetAvailable whether the retry budget has a token for another attempt
 */
public record RetryContext(
        boolean repeatable,
        AttemptResult result,
        boolean earlierNotRun,
        int attempts,
        long remainingMillis,
        int maximumAttempts,
        boolean budgetAvailable) {

    /**
     * Checks the result and the number of attempts.
     */
    public RetryContext {
        Objects.requireNonNull(result, "result");
        if (attempts < 0) {
            throw new IllegalArgumentException("the number of attempts is negative: " + attempts);
        }
    }

    /**
     * Creates the state of a request with the usual number of attempts.
     *
     * @param repeatable whether the selector allows the request to run more than once
     * @param result how the last attempt ended
     * @param earlierNotRun whether every earlier attempt provably did not run; true if there was none
     * @param attempts how many attempts were made, hedges and the last one included, at least 1
     * @param remainingMillis the time until the caller's deadline in milliseconds, may be negative
     * @param budgetAvailable whether the retry budget has a token for another attempt
     * @return the state
     */
    public static RetryContext usual(
            boolean repeatable,
            AttemptResult result,
            boolean earlierNotRun,
            int attempts,
            long remainingMillis,
            boolean budgetAvailable) {
        return new RetryContext(
                repeatable,
                result,
                earlierNotRun,
                attempts,
                remainingMillis,
                RetryPolicy.MOST_ATTEMPTS,
                budgetAvailable);
    }

    /**
     * Tells whether no attempt, the last one included, can have run.
     *
     * @return true if every attempt provably did not run
     */
    public boolean provablyNotRun() {
        return earlierNotRun && result.provesNotRun();
    }

    /**
     * Returns the same state without a token in the retry budget.
     *
     * @return the state to decide on after {@link RetryBudget#trySpend} returned false
     */
    public RetryContext withoutBudget() {
        return new RetryContext(repeatable, result, earlierNotRun, attempts, remainingMillis, maximumAttempts, false);
    }
}
