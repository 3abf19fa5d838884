package org.cassiabank.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.function.DoubleUnaryOperator;
import org.junit.jupiter.api.Test;

/**
 * Plays the loads of the users' platform in virtual time and checks what callers get. Guards against slots that stay
 * empty while orders wait, and against orders that are overtaken until they are too late.
 */
class PlatformLoadTest {
    private static final double SECONDS = 1_000;
    private static final double UNTIL = 30 * SECONDS;
    private static final double ORDER_MILLIS = 140;
    private static final long ORDER_DEADLINE_MILLIS = 1_500;
    private static final double ORDER_AIM_MILLIS = 600;
    private static final SchedulerSettings EQUAL_WORK =
            SchedulerSettings.defaults().withSeparateClasses(false);
    /** The kitchens' orders at their crest, 28.6 a second in waves of 55% and a rush of 1.7 times that. */
    private static final DoubleUnaryOperator RUSH = time -> {
        double wave = 28.6 * (1 + 0.55 * Math.sin(2 * Math.PI * time / (13 * SECONDS)));
        return time >= 9 * SECONDS && time < 14 * SECONDS ? 1.7 * wave : wave;
    };

    @Test
    void theRushOfTheKitchensIsServedByFiveOfEightServers() {
        List<SchedulerSimulation.Arrival> orders = orders(EQUAL_WORK, 5, 1, RUSH);
        assertThat(share(orders, ORDER_AIM_MILLIS)).isGreaterThan(0.95);
        assertThat(orders).noneMatch(order -> order.isAnswered() && !order.isInTime());
    }

    @Test
    void ordersBesideAFewShortTestRequestsUseAllSlotsUnlessShortWorkIsKeptClear() {
        double equal = share(orders(EQUAL_WORK, 4, 1, RUSH), ORDER_AIM_MILLIS);
        double separate = share(orders(SchedulerSettings.defaults(), 4, 1, RUSH), ORDER_AIM_MILLIS);
        assertThat(equal).isGreaterThan(0.85).isGreaterThan(separate + 0.1);
    }

    @Test
    void withOneQueueFewerOrdersWaitInVainThanWithAQueueForEachAddress() {
        DoubleUnaryOperator tooMuch = time -> time >= 5 * SECONDS && time < 10 * SECONDS ? 45 : 20;
        SchedulerSettings withoutPrediction = EQUAL_WORK.withPredictWait(false);
        long oneQueue = lostInTheQueue(orders(withoutPrediction, 2, 1, tooMuch));
        long manyQueues = lostInTheQueue(orders(withoutPrediction, 2, 500, tooMuch));
        assertThat(oneQueue).isLessThanOrEqualTo(manyQueues);
    }

    @Test
    void anOrderThatCannotBeServedInTimeIsRefusedOnArrivalWithATimeToComeBack() {
        List<SchedulerSimulation.Arrival> orders = orders(EQUAL_WORK, 2, 1, time -> 60);
        List<SchedulerSimulation.Arrival> refused =
                orders.stream().filter(SchedulerSimulation.Arrival::isRefused).toList();
        assertThat(refused).hasSizeGreaterThan(orders.size() / 3);
        assertThat(refused.stream().filter(order -> order.refusedAfter() <= 50).count())
                .isGreaterThan(refused.size() * 95L / 100);
        assertThat(refused).allMatch(order -> order.refused().retryAfterMillis() > 0);
    }

    private static List<SchedulerSimulation.Arrival> orders(
            SchedulerSettings settings, int servers, int callers, DoubleUnaryOperator perSecond) {
        return SchedulerSimulation.create(settings, servers, 2, 1)
                .hop(1)
                .load("test", 10, 1, 1_000, UNTIL, time -> 2)
                .load("order", ORDER_MILLIS, callers, ORDER_DEADLINE_MILLIS, UNTIL, perSecond)
                .run()
                .between("order", 2 * SECONDS, UNTIL);
    }

    private static double share(List<SchedulerSimulation.Arrival> orders, double millis) {
        return (double) orders.stream()
                        .filter(order -> order.isAnswered() && order.latency() <= millis)
                        .count()
                / orders.size();
    }

    private static long lostInTheQueue(List<SchedulerSimulation.Arrival> orders) {
        return orders.stream()
                .filter(order -> order.isRefused() && order.refusedAfter() > 500)
                .count();
    }
}
