package org.cassiabank.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Locale;
import java.util.function.Predicate;
import org.cassiabank.admission.SchedulerSimulation.Arrival;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards the targets of section 2 of the design page: the latency of short work beside long work, the useful slot time
 * in overload and the time of refusals. Where a mechanism can be switched off, the test compares it with a run without
 * it.
 */
class SchedulerTargetsTest {
    private static final int SERVERS = 8;
    private static final int SLOTS_PER_SERVER = 2;
    private static final double COSTS_ESTIMATED_MILLIS = 5_000;

    /** 10% of the requests are 100 times longer. From 60 requests/s on, long work alone demands 75% of all slots. */
    @ParameterizedTest
    @CsvSource({"30, 1", "60, 1", "60, 2", "60, 3", "300, 1", "300, 2", "600, 1", "600, 2"})
    void longWorkRaisesThe99thPercentileOfShortWorkByAtMostAQuarter(double requestsPerSecond, long seed) {
        double untilMillis = requestsPerSecond < 100 ? 150_000 : 60_000;
        List<Arrival> withoutLongWork =
                shortWorkArrivals(SchedulerSettings.defaults(), requestsPerSecond, 0, untilMillis, seed);
        List<Arrival> withLongWork =
                shortWorkArrivals(SchedulerSettings.defaults(), requestsPerSecond, 1, untilMillis, seed);
        List<Arrival> withoutSeparation = shortWorkArrivals(
                SchedulerSettings.defaults().withSeparateLongWork(false), requestsPerSecond, 1, untilMillis, seed);
        double baseMillis = SchedulerSimulation.latencyPercentileMillis(withoutLongWork, 0.99);
        double ratio = SchedulerSimulation.latencyPercentileMillis(withLongWork, 0.99) / baseMillis;
        double ratioWithoutSeparation =
                SchedulerSimulation.latencyPercentileMillis(withoutSeparation, 0.99) / baseMillis;
        double waitingShare = share(withLongWork, arrival -> arrival.waitedMillis() > 0);
        double waitingShareWithoutLongWork = share(withoutLongWork, arrival -> arrival.waitedMillis() > 0);
        printFigures(
                "%.0f/s seed %d: short p99 alone %.1f ms, with long %.2f times, classes off %.2f times; "
                        + "short requests that wait: alone %.2f%%, with long %.2f%%",
                requestsPerSecond,
                seed,
                baseMillis,
                ratio,
                ratioWithoutSeparation,
                100 * waitingShareWithoutLongWork,
                100 * waitingShare);
        assertThat(ratio).isLessThanOrEqualTo(1.25);
        assertThat(share(withLongWork, Arrival::isAnswered)).isEqualTo(1);
        assertThat(waitingShare).isLessThan(requestsPerSecond <= 60 ? 0.001 : waitingShareWithoutLongWork + 0.08);
        if (requestsPerSecond >= 60) {
            assertThat(ratioWithoutSeparation).isGreaterThan(1.25);
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {300, 1000, 2000})
    void slotsDoUsefulWorkAtThreeTimesTheCapacity(long deadlineMillis) {
        for (long seed = 1; seed <= 2; seed++) {
            SchedulerSimulation withPrediction = loadPeak(SchedulerSettings.defaults(), deadlineMillis, seed);
            SchedulerSimulation withoutPrediction =
                    loadPeak(SchedulerSettings.defaults().withRefuseByPredictedWait(false), deadlineMillis, seed);
            double usefulShare = withPrediction.usefulSlotShare(SERVERS * SLOTS_PER_SERVER, 12_000, 22_000);
            double usefulShareWithoutPrediction =
                    withoutPrediction.usefulSlotShare(SERVERS * SLOTS_PER_SERVER, 12_000, 22_000);
            double baseMillis = SchedulerSimulation.latencyPercentileMillis(
                    withPrediction.arrivalsBetween("quote", COSTS_ESTIMATED_MILLIS, 10_000), 0.99);
            double afterMillis = SchedulerSimulation.latencyPercentileMillis(
                    withPrediction.arrivalsBetween("quote", 26_000, 40_000), 0.99);
            double afterWithoutPredictionMillis = SchedulerSimulation.latencyPercentileMillis(
                    withoutPrediction.arrivalsBetween("quote", 26_000, 40_000), 0.99);
            printFigures(
                    "deadline %d ms seed %d: useful slot time %.2f%%, refusals within 50 ms %.2f%%, "
                            + "p99 after/before %.2f; prediction off %.2f%%, %.2f%%, %.2f",
                    deadlineMillis,
                    seed,
                    100 * usefulShare,
                    100 * shareRefusedWithin50Millis(withPrediction),
                    afterMillis / baseMillis,
                    100 * usefulShareWithoutPrediction,
                    100 * shareRefusedWithin50Millis(withoutPrediction),
                    afterWithoutPredictionMillis / baseMillis);
            assertThat(usefulShare).isGreaterThanOrEqualTo(0.95).isGreaterThan(usefulShareWithoutPrediction);
            assertThat(shareRefusedWithin50Millis(withPrediction))
                    .isGreaterThan(0.99)
                    .isGreaterThan(shareRefusedWithin50Millis(withoutPrediction));
            assertThat(afterMillis).isLessThanOrEqualTo(1.1 * baseMillis);
            assertThat(withPrediction.arrivalsBetween("quote", 12_000, 22_000))
                    .filteredOn(Arrival::isRefused)
                    .allSatisfy(arrival ->
                            assertThat(arrival.refusal().retryAfterMillis()).isBetween(10L, 10_000L));
        }
    }

    /**
     * A slot is idle during the four messages between a response and the next request; no other slot time may be lost.
     */
    @ParameterizedTest
    @ValueSource(doubles = {0.5, 1})
    void messagesCostNoMoreSlotTimeThanTheirTransfer(double messageMillis) {
        SchedulerSimulation simulation = SchedulerSimulation.create(
                        SchedulerSettings.defaults(), SERVERS, SLOTS_PER_SERVER, 1)
                .setMessageMillis(messageMillis)
                .addLoad("quote", 20, 20, 300, 22_000, time -> time < 10_000 ? 400 : 2_400)
                .run();
        double usefulShare = simulation.usefulSlotShare(SERVERS * SLOTS_PER_SERVER, 12_000, 22_000);
        double possibleShare = 20 / (20 + 4 * messageMillis);
        printFigures(
                "hop %.1f ms: useful slot time %.2f%% of %.2f%%, refusals within 50 ms %.2f%%",
                messageMillis, 100 * usefulShare, 100 * possibleShare, 100 * shareRefusedWithin50Millis(simulation));
        assertThat(usefulShare).isGreaterThanOrEqualTo(0.98 * possibleShare);
        assertThat(shareRefusedWithin50Millis(simulation)).isGreaterThan(0.99);
    }

    private static List<Arrival> shortWorkArrivals(
            SchedulerSettings settings,
            double requestsPerSecond,
            int longWorkDurationShare,
            double untilMillis,
            long seed) {
        return SchedulerSimulation.create(settings, SERVERS, SLOTS_PER_SERVER, seed)
                .addLoad("menu", 20, 20, 5_000, untilMillis, time -> 0.9 * requestsPerSecond)
                .addLoad(
                        "ledger",
                        2000,
                        20,
                        30_000,
                        longWorkDurationShare * untilMillis,
                        time -> 0.1 * requestsPerSecond)
                .run()
                .arrivalsBetween("menu", COSTS_ESTIMATED_MILLIS, untilMillis);
    }

    /** Half load, a rise to 3 times the capacity of 800/s within 2 s, 10 s at that rate, and a return within 2 s. */
    private static SchedulerSimulation loadPeak(SchedulerSettings settings, long deadlineMillis, long seed) {
        return SchedulerSimulation.create(settings, SERVERS, SLOTS_PER_SERVER, seed)
                .addLoad("quote", 20, 20, deadlineMillis, 40_000, time -> {
                    double rise = Math.clamp((time - 10_000) / 2_000, 0, 1);
                    double fall = Math.clamp((time - 22_000) / 2_000, 0, 1);
                    return 400 + 2_000 * (rise - fall);
                })
                .run();
    }

    private static double shareRefusedWithin50Millis(SchedulerSimulation simulation) {
        List<Arrival> refused = simulation.arrivalsBetween("quote", 10_000, 24_000).stream()
                .filter(Arrival::isRefused)
                .toList();
        return share(refused, arrival -> arrival.refusedAfterMillis() <= 50);
    }

    private static double share(List<Arrival> arrivals, Predicate<Arrival> condition) {
        return arrivals.stream().filter(condition).count() / (double) arrivals.size();
    }

    /** Prints the measured figures, which commits and the page of measurements quote. */
    private static void printFigures(String format, Object... arguments) {
        System.out.printf(Locale.ROOT, format + "%n", arguments);
    }
}
