package org.cassiabank.retry;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.constraints.UseType;

/**
 * Guards against unrepeatable requests that run twice, false "not run" replies and retries that multiply the load. They
 * result from a wrong decision about one of the possible sequences of attempt results, or from a budget that is
 * exceeded.
 */
class RetryPolicyTest {
    /** A request with the results of its possible attempts, in order. */
    public record RequestScenario(
            boolean repeatable, boolean hedged, AttemptResult first, AttemptResult second, AttemptResult third) {
        AttemptResult result(int attempt) {
            return List.of(first, second, third).get(attempt - 1);
        }
    }

    /** Runs a request, checks each decision against the results so far and returns the number of attempts. */
    private static int runAndCountAttempts(RequestScenario scenario, RetryBudget budget, long remainingMillis) {
        budget.recordRequest();
        boolean hedge = scenario.hedged()
                && HedgePolicy.delayMillis(scenario.repeatable(), 1, 10, remainingMillis)
                        .isPresent()
                && budget.trySpend(RetryReason.HEDGE);
        int attempts = hedge ? 2 : 1;
        int completedAttempts = 0;
        boolean earlierAttemptsNotRun = true;
        while (true) {
            completedAttempts++;
            AttemptResult result = scenario.result(completedAttempts);
            RetryDecision decision = RetryPolicy.decide(
                    RetryContext.withDefaultMaximum(
                            scenario.repeatable(), result, earlierAttemptsNotRun, attempts, remainingMillis, true),
                    budget);
            boolean provablyNotRun = earlierAttemptsNotRun && result.provesNotRun();
            switch (decision) {
                case RetryDecision.Retry retry -> {
                    assertThat(scenario.repeatable() || provablyNotRun).isTrue();
                    attempts++;
                }
                case RetryDecision.ReportNotRun notRun ->
                    assertThat(provablyNotRun).isTrue();
                case RetryDecision.ReportUnknownOutcome unknown ->
                    assertThat(provablyNotRun).isFalse();
                case RetryDecision.DeliverResponse deliver ->
                    assertThat(result)
                            .isIn(AttemptResult.ANSWERED, AttemptResult.SERVER_ERROR, AttemptResult.UNPROVEN_REFUSAL);
            }
            if (!(decision instanceof RetryDecision.Retry)) {
                return attempts;
            }
            earlierAttemptsNotRun = provablyNotRun;
        }
    }

    @Property
    void attemptsStayWithinTheBudgetAndUnrepeatableRequestsAreRetriedOnlyIfNotRun(
            @ForAll @Size(max = 300) List<@UseType RequestScenario> scenarios,
            @ForAll @IntRange(min = -10, max = 100) int remainingMillis) {
        RetryBudget budget = RetryBudget.create(0.1, 10);
        int attempts = 0;
        for (int requests = 1; requests <= scenarios.size(); requests++) {
            attempts += runAndCountAttempts(scenarios.get(requests - 1), budget, remainingMillis);
            assertThat(10L * attempts).isLessThanOrEqualTo(11L * requests);
        }
    }

    @Example
    void unrepeatableRequestIsRetriedOnlyWhenItProvablyDidNotRun() {
        for (AttemptResult result : AttemptResult.values()) {
            for (boolean earlierAttemptsNotRun : new boolean[] {false, true}) {
                RetryDecision decision = RetryPolicy.decide(
                        RetryContext.withDefaultMaximum(false, result, earlierAttemptsNotRun, 1, 1_000, true));
                boolean provesNotRun = result == AttemptResult.SHED || result == AttemptResult.NOT_SENT;
                assertThat(decision instanceof RetryDecision.Retry).isEqualTo(provesNotRun && earlierAttemptsNotRun);
            }
        }
    }

    @Example
    void budgetKeepsNoMoreTokensThanItsCapacityAndCountsThemExactly() {
        RetryBudget budget = RetryBudget.create(0.1, 10);
        for (int request = 0; request < 9; request++) {
            budget.recordRequest();
        }
        assertThat(budget.trySpend(RetryReason.SHED)).isFalse();
        for (int request = 0; request < 1_000; request++) {
            budget.recordRequest();
        }
        for (int token = 0; token < 10; token++) {
            assertThat(budget.trySpend(RetryReason.SHED)).isTrue();
        }
        assertThat(budget.trySpend(RetryReason.SHED)).isFalse();
        assertThat(budget.spent(RetryReason.SHED)).isEqualTo(10);
    }

    /** Guards against a lost update, which would let two threads spend one token. */
    @Example
    void concurrentThreadsNeverSpendMoreTokensThanRequestsAdded() throws InterruptedException {
        RetryBudget budget = RetryBudget.create(0.1, 10);
        AtomicInteger spentTokens = new AtomicInteger();
        CountDownLatch start = new CountDownLatch(1);
        try (var executor = Executors.newFixedThreadPool(4)) {
            for (int thread = 0; thread < 4; thread++) {
                executor.submit(() -> {
                    start.await();
                    for (int request = 0; request < 50_000; request++) {
                        budget.recordRequest();
                        if (budget.trySpend(RetryReason.TIMEOUT)) {
                            spentTokens.incrementAndGet();
                        }
                    }
                    return null;
                });
            }
            start.countDown();
        }
        assertThat(spentTokens.get()).isBetween(19_990, 20_000);
        assertThat(budget.spent(RetryReason.TIMEOUT)).isEqualTo(spentTokens.get());
    }

    @Example
    void onlyRepeatableFirstAttemptsWithTimeForAHedgeAreHedged() {
        assertThat(HedgePolicy.delayMillis(true, 1, 20, 40)).hasValue(20);
        assertThat(HedgePolicy.delayMillis(true, 1, 20, 39)).isEmpty();
        assertThat(HedgePolicy.delayMillis(false, 1, 20, 1_000)).isEmpty();
        assertThat(HedgePolicy.delayMillis(true, 2, 20, 1_000)).isEmpty();
        assertThat(HedgePolicy.delayMillis(true, 1, 0, 1_000)).isEmpty();
    }
}
