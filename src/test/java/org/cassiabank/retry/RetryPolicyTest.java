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

/** Guards against duplicated requests, false "not run" replies and load that retries multiply. */
class RetryPolicyTest {
    /** A request with the results its attempts would have, in order. */
    public record Trial(
            boolean repeatable, boolean hedged, AttemptResult first, AttemptResult second, AttemptResult third) {
        AttemptResult result(int attempt) {
            return List.of(first, second, third).get(attempt - 1);
        }
    }

    /** Runs a request and returns its attempts, checking each step against the results seen so far. */
    private static int run(Trial trial, RetryBudget budget, long remainingMillis) {
        budget.recordRequest();
        boolean hedge = trial.hedged()
                && HedgePolicy.delayMillis(trial.repeatable(), 1, 10, remainingMillis)
                        .isPresent()
                && budget.trySpend(RetryReason.HEDGE);
        int attempts = hedge ? 2 : 1;
        int ended = 0;
        boolean earlierNotRun = true;
        while (true) {
            ended++;
            AttemptResult result = trial.result(ended);
            RetryDecision decision = RetryPolicy.decide(
                    RetryContext.usual(trial.repeatable(), result, earlierNotRun, attempts, remainingMillis, true),
                    budget);
            boolean neverRun = earlierNotRun && result.provesNotRun();
            switch (decision) {
                case RetryDecision.Retry retry -> {
                    assertThat(trial.repeatable() || neverRun).isTrue();
                    attempts++;
                }
                case RetryDecision.ReportNotRun notRun -> assertThat(neverRun).isTrue();
                case RetryDecision.ReportUnknownOutcome unknown ->
                    assertThat(neverRun).isFalse();
                case RetryDecision.DeliverResponse deliver ->
                    assertThat(result).isIn(AttemptResult.ANSWERED, AttemptResult.SERVER_ERROR);
            }
            if (!(decision instanceof RetryDecision.Retry)) {
                return attempts;
            }
            earlierNotRun = neverRun;
        }
    }

    @Property
    void attemptsStayWithinTheBudgetAndNothingUnprovenIsRepeated(
            @ForAll @Size(max = 300) List<@UseType Trial> trials,
            @ForAll @IntRange(min = -10, max = 100) int remainingMillis) {
        RetryBudget budget = RetryBudget.create(0.1, 10);
        int attempts = 0;
        for (int requests = 1; requests <= trials.size(); requests++) {
            attempts += run(trials.get(requests - 1), budget, remainingMillis);
            assertThat(10L * attempts).isLessThanOrEqualTo(11L * requests);
        }
    }

    @Example
    void noResultOfAnUnrepeatableRequestButAProofAllowsAnotherAttempt() {
        for (AttemptResult result : AttemptResult.values()) {
            for (boolean earlierNotRun : new boolean[] {false, true}) {
                RetryDecision decision =
                        RetryPolicy.decide(RetryContext.usual(false, result, earlierNotRun, 1, 1_000, true));
                boolean proven = result == AttemptResult.SHED || result == AttemptResult.NOT_SENT;
                assertThat(decision instanceof RetryDecision.Retry).isEqualTo(proven && earlierNotRun);
            }
        }
    }

    @Example
    void aBudgetKeepsItsTokensWithinTheCapacityAndCountsThemExactly() {
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

    /** Guards against a lost update, which would hand out one token twice. */
    @Example
    void concurrentThreadsNeverSpendMoreThanTheyEarned() throws InterruptedException {
        RetryBudget budget = RetryBudget.create(0.1, 10);
        AtomicInteger spent = new AtomicInteger();
        CountDownLatch start = new CountDownLatch(1);
        try (var executor = Executors.newFixedThreadPool(4)) {
            for (int thread = 0; thread < 4; thread++) {
                executor.submit(() -> {
                    start.await();
                    for (int request = 0; request < 50_000; request++) {
                        budget.recordRequest();
                        if (budget.trySpend(RetryReason.TIMEOUT)) {
                            spent.incrementAndGet();
                        }
                    }
                    return null;
                });
            }
            start.countDown();
        }
        assertThat(spent.get()).isBetween(19_990, 20_000);
        assertThat(budget.spent(RetryReason.TIMEOUT)).isEqualTo(spent.get());
    }

    @Example
    void onlyRepeatableFirstAttemptsWithTimeForASecondOneAreHedged() {
        assertThat(HedgePolicy.delayMillis(true, 1, 20, 40)).hasValue(20);
        assertThat(HedgePolicy.delayMillis(true, 1, 20, 39)).isEmpty();
        assertThat(HedgePolicy.delayMillis(false, 1, 20, 1_000)).isEmpty();
        assertThat(HedgePolicy.delayMillis(true, 2, 20, 1_000)).isEmpty();
        assertThat(HedgePolicy.delayMillis(true, 1, 0, 1_000)).isEmpty();
    }
}
