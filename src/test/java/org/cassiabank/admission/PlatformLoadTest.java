package org.cassiabank.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import java.util.function.DoubleUnaryOperator;
import org.junit.jupiter.api.Test;

/**
 * Plays the loads of the users' platform in virtual time and checks what callers get. Guards against slots that stay
 * empty while orders wait, against orders that are overtaken until they are too late, and against work that is served
 * ahead of more urgent work or not at all.
 */
class PlatformLoadTest {
    private static final double SECONDS = 1_000;
    private static final double UNTIL = 30 * SECONDS;
    private static final double ORDER_MILLIS = 140;
    private static final long ORDER_DEADLINE_MILLIS = 1_500;
    private static final double ORDER_AIM_MILLIS = 600;
    private static final SchedulerSettings EQUAL_WORK =
            SchedulerSettings.defaults().withSeparateLongWork(false);
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

    @Test
    void ordersAreServedBeforeReadsWhileASharedServiceCannotServeBoth() {
        SchedulerSimulation service = sharedService(time -> 60, time -> 120);
        assertThat(share(service.between("order", 2 * SECONDS, UNTIL), ORDER_AIM_MILLIS))
                .isGreaterThan(0.97);
        // Orders need 8.4 of 16 slots; what is left is enough for 45% of the reads.
        assertThat(share(service.between("read", 2 * SECONDS, UNTIL), ORDER_DEADLINE_MILLIS))
                .isBetween(0.35, 0.46);
    }

    @Test
    void readsAreNotStarvedWhenOrdersAloneExceedAllSlots() {
        SchedulerSimulation service = sharedService(time -> 200, time -> 20);
        double orders = share(service.between("order", 2 * SECONDS, UNTIL), ORDER_DEADLINE_MILLIS);
        double reads = share(service.between("read", 2 * SECONDS, UNTIL), ORDER_DEADLINE_MILLIS);
        double all = (200 * orders + 20 * reads) / 220;
        assertThat(reads).isGreaterThan(0.25 * all).isLessThan(orders + 0.05);
    }

    @Test
    void readsThatOrdersWillOvertakeAreRefusedOnArrival() {
        List<SchedulerSimulation.Arrival> reads =
                sharedService(time -> 110, time -> 60).between("read", 2 * SECONDS, UNTIL);
        long refused =
                reads.stream().filter(SchedulerSimulation.Arrival::isRefused).count();
        long late = reads.stream()
                .filter(read -> read.isRefused() && read.refusedAfter() > 100)
                .count();
        assertThat(refused).isGreaterThan(reads.size() / 3);
        assertThat(late).isLessThan(refused / 10);
    }

    @Test
    void aServerThatFailsFastDoesNotDrawTheOrdersOfThoseThatWork() {
        DoubleUnaryOperator orders = time -> 31.4 * (1 + 0.55 * Math.sin(2 * Math.PI * time / (17 * SECONDS)));
        List<SchedulerSimulation.Arrival> commitments = SchedulerSimulation.create(EQUAL_WORK, 4, 6, 4)
                .hop(1)
                .failing("server-0", 0.75)
                .unrepeatable()
                .load("commitment", 390, 1, 2_500, UNTIL, orders)
                .run()
                .between("commitment", 0, UNTIL);
        long failed = commitments.stream()
                .filter(SchedulerSimulation.Arrival::isFailed)
                .count();
        // The three others have 18 slots for 19 at the crest; without a choice by failures a third of all orders fails.
        assertThat(failed).isLessThan(commitments.size() * 5L / 100);
        assertThat(share(commitments, 1_500)).isGreaterThan(0.85);
    }

    @Test
    void ordersAreStillSentWhileAllServersFailHalfOfThem() {
        SchedulerSimulation service =
                SchedulerSimulation.create(EQUAL_WORK, 3, 6, 5).hop(1);
        for (int server = 0; server < 3; server++) {
            service.failing("server-" + server, 0.5);
        }
        List<SchedulerSimulation.Arrival> orders = service.unrepeatable()
                .load("order", ORDER_MILLIS, 1, ORDER_DEADLINE_MILLIS, UNTIL, time -> 40)
                .run()
                .between("order", 0, UNTIL);
        assertThat(share(orders, ORDER_AIM_MILLIS)).isGreaterThan(0.45);
    }

    @Test
    void repeatedRequestsWaitAboutAsLongAsFirstOnes() {
        DoubleUnaryOperator crest = time -> time >= 5 * SECONDS && time < 9 * SECONDS ? 75 : 20;
        SchedulerSimulation service = SchedulerSimulation.create(EQUAL_WORK.withPredictWait(false), 8, 2, 3)
                .hop(1)
                .load("first", ORDER_MILLIS, 1, ORDER_DEADLINE_MILLIS, UNTIL, crest)
                .next(0, Set.of("server-0"))
                .load("repeated", ORDER_MILLIS, 1, ORDER_DEADLINE_MILLIS, UNTIL, crest)
                .run();
        double first = SchedulerSimulation.percentile(service.between("first", 5 * SECONDS, 9 * SECONDS), 0.9);
        double repeated = SchedulerSimulation.percentile(service.between("repeated", 5 * SECONDS, 9 * SECONDS), 0.9);
        assertThat(repeated).isBetween(0.7 * first, 1.4 * first);
    }

    /** Orders of the first urgency and reads of the second, both of 140 ms, at 8 servers of two slots. */
    private static SchedulerSimulation sharedService(DoubleUnaryOperator orders, DoubleUnaryOperator reads) {
        return SchedulerSimulation.create(EQUAL_WORK, 8, 2, 2)
                .hop(1)
                .next(1, Set.of())
                .load("order", ORDER_MILLIS, 1, ORDER_DEADLINE_MILLIS, UNTIL, orders)
                .next(2, Set.of())
                .load("read", ORDER_MILLIS, 1, ORDER_DEADLINE_MILLIS, UNTIL, reads)
                .run();
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
