package org.cassiabank.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Simulates the kitchens' orders while servers name limits of requests a second. Guards against more requests than a
 * server accepts, and against requests that wait behind a limit until their deadline although it is known that they
 * cannot be served.
 */
class RateLimitLoadTest {
    private static final double LIMIT = 1.6;
    private static final int SERVERS = 8;
    private static final double WINDOW_MILLIS = 4_000;
    /** The users allow one and a half times the limit and 5 requests in a window of some 4 s. */
    private static final double ALLOWED_IN_WINDOW = 1.5 * LIMIT * WINDOW_MILLIS / 1_000 + 5;

    private static final double DURATION_MILLIS = 30_000;
    private static final long DEADLINE_MILLIS = 1_500;

    @ParameterizedTest
    @ValueSource(ints = {2, 4, 8})
    void noServerGetsMoreThanItAccepts(int limitedServers) {
        List<SchedulerSimulation.Arrival> orders = runOrders(limitedServers, 45);
        for (int server = 0; server < limitedServers; server++) {
            assertThat(largestWindow(orders, "server-" + server)).isLessThanOrEqualTo((long) ALLOWED_IN_WINDOW);
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 2, 4})
    void theOtherServersServeTheRest(int limitedServers) {
        List<SchedulerSimulation.Arrival> orders = runOrders(limitedServers, 28);
        long inTime = orders.stream()
                .filter(order -> order.isAnswered() && order.latencyMillis() <= 600)
                .count();
        assertThat(inTime).isGreaterThan(orders.size() * 95L / 100);
    }

    @Test
    void limitedServersAreUsedToTheirLimits() {
        List<SchedulerSimulation.Arrival> orders = runOrders(SERVERS, 28);
        long answered =
                orders.stream().filter(SchedulerSimulation.Arrival::isAnswered).count();
        assertThat(answered).isGreaterThan((long) (0.9 * SERVERS * LIMIT * DURATION_MILLIS / 1_000));
    }

    @Test
    void ordersThatNoLimitLeavesRoomForAreRefusedOnArrivalWithARetryTime() {
        List<SchedulerSimulation.Arrival> refused = runOrders(SERVERS, 28).stream()
                .filter(SchedulerSimulation.Arrival::isRefused)
                .toList();
        assertThat(refused).hasSizeGreaterThan(300);
        long refusedAtOnce = refused.stream()
                .filter(order -> order.refusedAfterMillis() <= 50)
                .count();
        assertThat(refusedAtOnce).isGreaterThan(refused.size() * 95L / 100);
        assertThat(refused).allMatch(order -> order.refusal().retryAfterMillis() > 0);
    }

    @Test
    void aSlowLimitDoesNotKeepAServerFromBeingAskedAgain() {
        List<SchedulerSimulation.Arrival> orders = SchedulerSimulation.create(SchedulerSettings.defaults(), 1, 2, 7)
                .setRateLimits(1, 0)
                .addLoad("order", 140, 1, DEADLINE_MILLIS, DURATION_MILLIS, time -> 10)
                .run()
                .arrivalsBetween("order", 0, DURATION_MILLIS);
        assertThat(orders.stream()
                        .filter(SchedulerSimulation.Arrival::isAnswered)
                        .count())
                .isBetween(1L, 3L);
    }

    private static List<SchedulerSimulation.Arrival> runOrders(int limitedServers, double ordersPerSecond) {
        return SchedulerSimulation.create(SchedulerSettings.defaults().withSeparateLongWork(false), SERVERS, 2, 1)
                .setMessageMillis(1)
                .setRateLimits(limitedServers, LIMIT)
                .setUnrepeatable()
                .addLoad("order", 140, 1, DEADLINE_MILLIS, DURATION_MILLIS, time -> ordersPerSecond)
                .run()
                .arrivalsBetween("order", 0, DURATION_MILLIS);
    }

    private static long largestWindow(List<SchedulerSimulation.Arrival> orders, String server) {
        double[] starts = orders.stream()
                .filter(order -> order.serverName().equals(server))
                .mapToDouble(SchedulerSimulation.Arrival::startedAtMillis)
                .sorted()
                .toArray();
        long largest = 0;
        for (double from : starts) {
            long inWindow = 0;
            for (double start : starts) {
                inWindow += start >= from && start < from + WINDOW_MILLIS ? 1 : 0;
            }
            largest = Math.max(largest, inWindow);
        }
        return largest;
    }
}
