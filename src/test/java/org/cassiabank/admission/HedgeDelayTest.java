package org.cassiabank.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Guards against hedges that start too late to respond in time, and against more hedges than the fleet's retry budget
 * allows. Both happen if the delay does not fit the distribution of the service times.
 */
class HedgeDelayTest {
    private static final double BUDGET_RATIO = 0.2;
    private static final long TARGET_MILLIS = 1_000;
    private static final long DEADLINE_MILLIS = 2_500;

    private final Random random = new Random(7);

    @Test
    void routeWithoutResponsesIsNotHedged() {
        assertThat(HedgeDelay.delayMillis(new RouteCost(), TARGET_MILLIS, DEADLINE_MILLIS))
                .isZero();
    }

    @Test
    void withoutATargetTheDelayIsThe95thPercentile() {
        RouteCost routeCost = routeCostOfNotes();
        assertThat(HedgeDelay.delayMillis(routeCost, 0, 60_000))
                .isBetween((long) routeCost.p95Micros() / 1_000, 1_400L);
    }

    @Test
    void hedgeStartsInTimeForTheTargetAndInAtMostAFifthOfTheRequests() {
        RouteCost routeCost = routeCostOfNotes();
        long delayMillis = HedgeDelay.delayMillis(routeCost, TARGET_MILLIS, DEADLINE_MILLIS);
        assertThat(delayMillis + routeCost.meanMicros() / 1_000).isLessThan(TARGET_MILLIS);
        int hedged = 0;
        int inTimeWithoutHedge = 0;
        int inTimeWithHedge = 0;
        for (int request = 0; request < 10_000; request++) {
            double firstMillis = nextServiceMillis();
            hedged += firstMillis > delayMillis ? 1 : 0;
            inTimeWithoutHedge += firstMillis <= TARGET_MILLIS ? 1 : 0;
            inTimeWithHedge +=
                    Math.min(firstMillis, firstMillis > delayMillis ? delayMillis + nextServiceMillis() : firstMillis)
                                    <= TARGET_MILLIS
                            ? 1
                            : 0;
        }
        assertThat(hedged / 10_000.0).isLessThan(BUDGET_RATIO);
        assertThat(10_000 - inTimeWithHedge).isLessThan((10_000 - inTimeWithoutHedge) / 2);
    }

    @Test
    void delayLeavesTimeForAHedgeWhenTheTailExceedsTheDeadline() {
        assertThat(HedgeDelay.delayMillis(routeCostOfNotes(), 0, 1_500)).isLessThan(750);
    }

    /** The kitchens' notes: log-normal times with a mean of 330 ms, and seven times that in 3 of 100 requests. */
    private RouteCost routeCostOfNotes() {
        RouteCost routeCost = new RouteCost();
        for (int response = 0; response < 1_000; response++) {
            routeCost.recordServiceTime(nextServiceMillis() * 1_000);
        }
        return routeCost;
    }

    private double nextServiceMillis() {
        double usualMillis = 330 * Math.exp(0.7 * random.nextGaussian() - 0.245);
        return random.nextDouble() < 0.03 ? 7 * usualMillis : usualMillis;
    }
}
