package org.cassiabank.retry;

import java.util.Optional;

/**
 * Decides what follows an attempt.
 *
 * <table>
 * <caption>Decision table; "may retry" needs a token, remaining time and fewer than the most attempts</caption>
 * <tr><th>result</th><th>repeatable</th><th>unrepeatable</th></tr>
 * <tr><td>answered</td><td>deliver</td><td>deliver</td></tr>
 * <tr><td>server error</td><td>may retry, else deliver</td><td>deliver</td></tr>
 * <tr><td>shed, not sent</td><td>may retry, else not-run or unknown</td><td>may retry, else not-run</td></tr>
 * <tr><td>timeout, lost, cut, wrong id</td><td>may retry, else unknown</td><td>unknown</td></tr>
 * <tr><td>too large, cancelled</td><td>unknown</td><td>unknown</td></tr>
 * <tr><td>cancelled before a byte was written</td><td>not-run or unknown</td><td>not-run</td></tr>
 * </table>
 *
 * <p>"Not-run or unknown" is not-run only if every earlier attempt provably did not run either.
 */
public final class RetryPolicy {
    /**
     * The most attempts for one request unless its selector says otherwise, hedges included. Three reach all failure
     * domains but one of today's four.
     */
    public static final int MOST_ATTEMPTS = 3;

    /** An attempt with less time than this would time out: a connection takes 1 ms and the way back another 1 ms. */
    public static final long LEAST_REMAINING_MILLIS = 5;

    private RetryPolicy() {}

    /**
     * Decides from the state alone. A retry still has to be paid: if {@link RetryBudget#trySpend} then returns false,
     * the caller decides again on {@link RetryContext#withoutBudget()}.
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
        boolean worthwhile = context.budgetAvailable()
                && context.attempts() < context.maximumAttempts()
                && context.remainingMillis() >= LEAST_REMAINING_MILLIS;
        if (reason.isPresent() && safeToRepeat && worthwhile) {
            return new RetryDecision.Retry(reason.get());
        }
        if (result == AttemptResult.SERVER_ERROR) {
            return new RetryDecision.DeliverResponse();
        }
        return context.provablyNotRun()
                ? new RetryDecision.ReportNotRun(result.label())
                : new RetryDecision.ReportUnknownOutcome(result.label());
    }

    /**
     * Decides and pays for a retry in one step.
     *
     * @param context the state after an attempt; whether it has a budget is taken from {@code budget}
     * @param budget the budget of the service
     * @return the next step; a retry has been paid for
     */
    public static RetryDecision decide(RetryContext context, RetryBudget budget) {
        RetryDecision decision = decide(context);
        return decision instanceof RetryDecision.Retry retry && !budget.trySpend(retry.reason())
                ? decide(context.withoutBudget())
                : decision;
    }
}
