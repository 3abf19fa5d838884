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

/** Guards against more additional attempts in some window than the fleet is allowed. */
class FleetRetryBudgetTest {
    private static final double RATIO = 0.2;
    private static final double SLACK = 56;
    private static final long WINDOW_MILLIS = 10_000;

    @Property(tries = 300)
    void noWindowHasMoreRepeatsThanTheBound(
            @ForAll @Size(min = 50, max = 400) List<@IntRange(min = 0, max = 200) Integer> gaps,
            @ForAll @IntRange(min = 1, max = 20) int repeatsPerRequest) {
        FleetRetryBudget budget = FleetRetryBudget.create(RATIO, SLACK, WINDOW_MILLIS, 0);
        Deque<Long> requests = new ArrayDeque<>();
        Deque<Long> repeats = new ArrayDeque<>();
        long now = 0;
        for (int gap : gaps) {
            now += gap;
            long start = now - WINDOW_MILLIS;
            requests.addLast(now);
            budget.recordRequest(now);
            for (int repeat = 0; repeat < repeatsPerRequest; repeat++) {
                if (budget.trySpend(now)) {
                    repeats.addLast(now);
                }
            }
            requests.removeIf(time -> time < start);
            repeats.removeIf(time -> time < start);
            assertThat((double) repeats.size()).isLessThanOrEqualTo(SLACK + RATIO * requests.size());
        }
    }

    @Test
    void aFailureOfAThirdOfTheServersIsCovered() {
        FleetRetryBudget budget = FleetRetryBudget.create(RATIO, SLACK, WINDOW_MILLIS, 0);
        int refused = 0;
        // The menu of the kitchens: 11.4 requests a second, of which 25% meet a server that breaks the connection.
        for (int request = 0; request < 114; request++) {
            long now = request * 88L;
            budget.recordRequest(now);
            if (request % 4 == 0 && !budget.trySpend(now)) {
                refused++;
            }
        }
        assertThat(refused).isZero();
    }

    @Test
    void argumentsOutOfRangeAreRefused() {
        assertThatThrownBy(() -> FleetRetryBudget.create(1.1, 1, 1, 0)).isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> FleetRetryBudget.create(0.1, -1, 1, 0)).isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> FleetRetryBudget.create(0.1, 1, 0, 0)).isInstanceOf(IllegalArgumentException.class);
    }
}
