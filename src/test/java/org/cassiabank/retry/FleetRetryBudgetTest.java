package org.cassiabank.retry;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/**
 * Guards against more additional attempts in some window than the fleet may make, which happens if saved and refilled
 * tokens are spent in the same window, and against a budget too small for a common failure.
 */
class FleetRetryBudgetTest {
    private static final double RATIO = 0.2;
    private static final double SLACK = 56;
    private static final long WINDOW_MILLIS = 10_000;

    @Property(tries = 300)
    void noWindowHasMoreAdditionalAttemptsThanAllowed(
            @ForAll @Size(min = 50, max = 400) List<@IntRange(min = 0, max = 200) Integer> gapsMillis,
            @ForAll @IntRange(min = 1, max = 20) int maximumAttemptsPerRequest) {
        FleetRetryBudget budget = FleetRetryBudget.create(RATIO, SLACK, WINDOW_MILLIS, 0);
        Deque<Long> requestTimesMillis = new ArrayDeque<>();
        Deque<Long> additionalAttemptTimesMillis = new ArrayDeque<>();
        long nowMillis = 0;
        for (int gapMillis : gapsMillis) {
            nowMillis += gapMillis;
            long windowStartMillis = nowMillis - WINDOW_MILLIS;
            requestTimesMillis.addLast(nowMillis);
            budget.recordRequest(nowMillis);
            for (int attempt = 0; attempt < maximumAttemptsPerRequest; attempt++) {
                if (budget.trySpend(nowMillis)) {
                    additionalAttemptTimesMillis.addLast(nowMillis);
                }
            }
            requestTimesMillis.removeIf(time -> time < windowStartMillis);
            additionalAttemptTimesMillis.removeIf(time -> time < windowStartMillis);
            assertThat((double) additionalAttemptTimesMillis.size())
                    .isLessThanOrEqualTo(SLACK + RATIO * requestTimesMillis.size());
        }
    }

    @Test
    void budgetCoversRetriesOfAQuarterOfTheRequests() {
        FleetRetryBudget budget = FleetRetryBudget.create(RATIO, SLACK, WINDOW_MILLIS, 0);
        int refusedAttempts = 0;
        // The menu service of the kitchens: 11.4 requests/s, of which 25% reach a server that breaks the connection.
        for (int request = 0; request < 114; request++) {
            long nowMillis = request * 88L;
            budget.recordRequest(nowMillis);
            if (request % 4 == 0 && !budget.trySpend(nowMillis)) {
                refusedAttempts++;
            }
        }
        assertThat(refusedAttempts).isZero();
    }

    @Test
    void argumentsOutOfRangeAreRejected() {
        assertThatThrownBy(() -> FleetRetryBudget.create(1.1, 1, 1, 0)).isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> FleetRetryBudget.create(0.1, -1, 1, 0)).isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> FleetRetryBudget.create(0.1, 1, 0, 0)).isInstanceOf(IllegalArgumentException.class);
    }
}
