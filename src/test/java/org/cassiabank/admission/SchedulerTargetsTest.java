package org.cassiabank.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Locale;
import java.util.function.Predicate;
import org.cassiabank.admission.SchedulerSimulation.Arrival;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards the targets of section 2 of the design page, each beside a run with the mechanism switched off. */
class SchedulerTargetsTest {
    private static final int SERVERS = 8;
    private static final int SLOTS = 2;
    private static final double LEARNED = 5_000;

    /** 10% of the requests are 100 times longer. From 60 requests/s on, long work alone demands 75% of all slots. */
    @ParameterizedTest
    @CsvSource({"30, 1", "60, 1", "60, 2", "60, 3", "300, 1", "300, 2", "600, 1", "600, 2"})
    void shortWorkSeldomWaitsBehindLongWork(double perSecond, long seed) {
        double until = perSecond < 100 ? 150_000 : 60_000;
        List<Arrival> alone = shortWork(SchedulerSettings.defaults(), perSecond, 0, until, seed);
        List<Arrival> mixed = shortWork(SchedulerSettings.defaults(), perSecond, 1, until, seed);
        List<Arrival> without =
                shortWork(SchedulerSettings.defaults().withSeparateLongWork(false), perSecond, 1, until, seed);
        double base = SchedulerSimulation.percentile(alone, 0.99);
        double ratio = SchedulerSimulation.percentile(mixed, 0.99) / base;
        double ratioWithout = SchedulerSimulation.percentile(without, 0.99) / base;
        double waiting = share(mixed, arrival -> arrival.waited() > 0);
        double waitingAlone = share(alone, arrival -> arrival.waited() > 0);
        report(
                "%.0f/s seed %d: short p99 alone %.1f ms, with long %.2f times, classes off %.2f times; "
                        + "short requests that wait: alone %.2f%%, with long %.2f%%",
                perSecond, seed, base, ratio, ratioWithout, 100 * waitingAlone, 100 * waiting);
        assertThat(ratio).isLessThanOrEqualTo(1.25);
        assertThat(share(mixed, Arrival::isAnswered)).isEqualTo(1);
        assertThat(waiting).isLessThan(perSecond <= 60 ? 0.001 : waitingAlone + 0.08);
        if (perSecond >= 60) {
            assertThat(ratioWithout).isGreaterThan(1.25);
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {300, 1000, 2000})
    void threeTimesTheCapacityFillsTheSlotsWithAnswersInTime(long deadline) {
        for (long seed = 1; seed <= 2; seed++) {
            SchedulerSimulation on = peak(SchedulerSettings.defaults(), deadline, seed);
            SchedulerSimulation off = peak(SchedulerSettings.defaults().withPredictWait(false), deadline, seed);
            double useful = on.usefulShare(SERVERS * SLOTS, 12_000, 22_000);
            double usefulOff = off.usefulShare(SERVERS * SLOTS, 12_000, 22_000);
            double base = SchedulerSimulation.percentile(on.between("quote", LEARNED, 10_000), 0.99);
            double after = SchedulerSimulation.percentile(on.between("quote", 26_000, 40_000), 0.99);
            double afterOff = SchedulerSimulation.percentile(off.between("quote", 26_000, 40_000), 0.99);
            report(
                    "deadline %d ms seed %d: useful slot time %.2f%%, refusals within 50 ms %.2f%%, "
                            + "p99 after/before %.2f; prediction off %.2f%%, %.2f%%, %.2f",
                    deadline,
                    seed,
                    100 * useful,
                    100 * refusedAtOnce(on),
                    after / base,
                    100 * usefulOff,
                    100 * refusedAtOnce(off),
                    afterOff / base);
            assertThat(useful).isGreaterThanOrEqualTo(0.95).isGreaterThan(usefulOff);
            assertThat(refusedAtOnce(on)).isGreaterThan(0.99).isGreaterThan(refusedAtOnce(off));
            assertThat(after).isLessThanOrEqualTo(1.1 * base);
            assertThat(on.between("quote", 12_000, 22_000))
                    .filteredOn(Arrival::isRefused)
                    .allSatisfy(arrival ->
                            assertThat(arrival.refused().retryAfterMillis()).isBetween(10L, 10_000L));
        }
    }

    /** A slot is idle during the four messages between a response and the next request; nothing else may be lost. */
    @ParameterizedTest
    @ValueSource(doubles = {0.5, 1})
    void messagesCostOnlyTheSlotTimeThatTheyTake(double hopMillis) {
        SchedulerSimulation simulation = SchedulerSimulation.create(SchedulerSettings.defaults(), SERVERS, SLOTS, 1)
                .hop(hopMillis)
                .load("quote", 20, 20, 300, 22_000, time -> time < 10_000 ? 400 : 2_400)
                .run();
        double useful = simulation.usefulShare(SERVERS * SLOTS, 12_000, 22_000);
        double possible = 20 / (20 + 4 * hopMillis);
        report(
                "hop %.1f ms: useful slot time %.2f%% of %.2f%%, refusals within 50 ms %.2f%%",
                hopMillis, 100 * useful, 100 * possible, 100 * refusedAtOnce(simulation));
        assertThat(useful).isGreaterThanOrEqualTo(0.98 * possible);
        assertThat(refusedAtOnce(simulation)).isGreaterThan(0.99);
    }

    private static List<Arrival> shortWork(
            SchedulerSettings settings, double perSecond, int longWork, double until, long seed) {
        return SchedulerSimulation.create(settings, SERVERS, SLOTS, seed)
                .load("menu", 20, 20, 5_000, until, time -> 0.9 * perSecond)
                .load("ledger", 2000, 20, 30_000, longWork * until, time -> 0.1 * perSecond)
                .run()
                .between("menu", LEARNED, until);
    }

    /** Half load, a rise to 3 times the capacity of 800/s within 2 s, 10 s there, and a return within 2 s. */
    private static SchedulerSimulation peak(SchedulerSettings settings, long deadline, long seed) {
        return SchedulerSimulation.create(settings, SERVERS, SLOTS, seed)
                .load("quote", 20, 20, deadline, 40_000, time -> {
                    double rise = Math.clamp((time - 10_000) / 2_000, 0, 1);
                    double fall = Math.clamp((time - 22_000) / 2_000, 0, 1);
                    return 400 + 2_000 * (rise - fall);
                })
                .run();
    }

    private static double refusedAtOnce(SchedulerSimulation simulation) {
        List<Arrival> refused = simulation.between("quote", 10_000, 24_000).stream()
                .filter(Arrival::isRefused)
                .toList();
        return share(refused, arrival -> arrival.refusedAfter() <= 50);
    }

    private static double share(List<Arrival> arrivals, Predicate<Arrival> condition) {
        return arrivals.stream().filter(condition).count() / (double) arrivals.size();
    }

    /** Prints the figures, which commits and the page of measurements quote. */
    private static void report(String format, Object... arguments) {
        System.out.printf(Locale.ROOT, format + "%n", arguments);
    }
}
