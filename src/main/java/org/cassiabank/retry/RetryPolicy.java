package org.cassiabank.retry;

import java.util.Optional;

/**
 * Decides the next step after an attempt from its result, the request and the retry budget.
 *
 * <table>
 * <caption>Decision table; "may retry" needs a token, remaining time and fewer attempts than the maximum</caption>
 * <tr><th>result</th><th>repeatable</th><th>unrepeatable</th></tr>
 * <tr><td>answered</td><td>deliver</td><td>deliver</td></tr>
 * <tr><td>server error, unproven refusal</td><td>may retry, else deliver</td><td>deliver</td></tr>
 * <tr><td>shed, not sent</td><td>may retry, else not-run or unknown</td><td>may retry, else not-run</td></tr>
 * <tr><td>timeout, lost, truncated, wrong id</td><td>may retry, else unknown</td><td>unknown</td></tr>
 * <tr><td>too large, cancelled</td><td>unknown</td><td>unknown</td></tr>
 * <tr><td>cancelled before a byte was written</td><td>not-run or unknown</td><td>not-run</td></tr>
 * </table>
 *
 * <p>"Not-run or unknown" is not-run only if every earlier attempt provably did not run either.
 */
public final class RetryPolicy {
    /**
     * The maximum number of attempts for one request unless its selector sets another, hedges included. Three attempts
     * can reach all but one of four failure domains.
     */
    public static final int DEFAULT_MAXIMUM_ATTEMPTS = 3;

    /**
     * No attempt starts with less remaining time than this, because it would time out: opening a connection takes 1 ms
     * and the transfer of the response another 1 ms.
     */
    public static final long MINIMUM_REMAINING_MILLIS = 5;

    private RetryPolicy() {}

    /**
     * Decides from the state alone, without spending a token. Before a retry the caller of this method must call
     * {@link RetryBudget#trySpend}, and if that returns false, decide again on {@link RetryContext#withoutBudget()}.
     *
     * @param context the state after an attempt
     * @return the next step
     */
    public static RetryDecision decide(RetryContext context) {
        AttemptResult result = context.result();
        if (result == AttemptResult.ANSWERED) {
            return new RetryDecision.DeliverResponse();
        }
        Optional<RetryReason> reason = result.retryReason();
        boolean safeToRepeat = context.repeatable() || context.provablyNotRun();
        boolean anotherAttemptAllowed = context.budgetAvailable()
                && context.attemptCount() < context.maximumAttempts()
                && context.remainingMillis() >= MINIMUM_REMAINING_MILLIS;
        if (reason.isPresent() && safeToRepeat && anotherAttemptAllowed) {
            return new RetryDecision.Retry(reason.get());
        }
        if (result == AttemptResult.SERVER_ERROR || result == AttemptResult.UNPROVEN_REFUSAL) {
            return new RetryDecision.DeliverResponse();
        }
        return context.provablyNotRun()
                ? new RetryDecision.ReportNotRun(result.label())
                : new RetryDecision.ReportUnknownOutcome(result.label());
    }

    /**
     * Decides the next step and spends a token from the budget if it is a retry.
     *
     * @param context the state after an attempt; no retry follows if its {@code budgetAvailable} is false
     * @param budget the retry budget of the service
     * @return the next step; a retry only if a token was spent
     */
    public static RetryDecision decide(RetryContext context, RetryBudget budget) {
        RetryDecision decision = decide(context);
        return decision instanceof RetryDecision.Retry retry && !budget.trySpend(retry.reason())
                ? decide(context.withoutBudget())
                : decision;
    }
}
