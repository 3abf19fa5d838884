package org.cassiabank.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against servers that stay out of use long after a fault of a few seconds while requests are refused. */
class RecurringFaultLoadTest {
    private static final double DURATION_MILLIS = 36_000;
    private static final double FAULT_PERIOD_MILLIS = 12_000;
    private static final double FAULT_MILLIS = 3_600;
    private static final double BROKEN_SHARE = 0.75;
    private static final double LOAD_PERIOD_MILLIS = 17_000;
    private static final double LOAD_SWING = 0.5;
    private static final int SEEDS = 8;

    /** The platform's share of the sound servers that must get requests while a tenth of all is not served. */
    private static final double FLOOR_SHARE = 0.7;

    private static final double FLOOR_WINDOW_MILLIS = 2_000;
    private static final double MINIMUM_SERVED_SHARE = 0.9;

    /** At the crest of the load the sound servers, seven of ten, have room for all requests. */
    @ParameterizedTest
    @CsvSource({
        "9, 6, 390, false, 2500, 50",
        "8, 2, 140, false, 1500, 45",
        "21, 6, 1100, true, 5000, 52",
        "8, 6, 520, true, 3000, 42"
    })
    void serversThatBreakRequestsForSecondsAreUsedAgainSoonAfter(
            int servers,
            int slots,
            double workMillis,
            boolean repeatable,
            long deadlineMillis,
            double requestsPerSecond) {
        double servedShare = 0;
        for (int seed = 1; seed <= SEEDS; seed++) {
            OwnerSimulation simulation = OwnerSimulation.create(servers, slots, 48, seed)
                    .addLoad(
                            workMillis,
                            repeatable,
                            deadlineMillis,
                            DURATION_MILLIS,
                            time -> requestsPerSecond
                                    * (1 + LOAD_SWING * Math.sin(2 * Math.PI * time / LOAD_PERIOD_MILLIS)));
            Random random = new Random(seed);
            for (int server = 0; server < servers; server++) {
                double firstMillis = (random.nextDouble() - 1) * FAULT_PERIOD_MILLIS;
                for (double time = firstMillis; time < DURATION_MILLIS; time += FAULT_PERIOD_MILLIS) {
                    simulation.addFaultyTime(server, time, time + FAULT_MILLIS, BROKEN_SHARE);
                }
            }
            simulation.run();
            assertThat(simulation.timesWithIdleSoundServers(DURATION_MILLIS, FLOOR_WINDOW_MILLIS, FLOOR_SHARE))
                    .as("times with idle sound servers, seed " + seed)
                    .isEmpty();
            servedShare += simulation.servedShare(0, DURATION_MILLIS) / SEEDS;
        }
        assertThat(servedShare).isGreaterThanOrEqualTo(MINIMUM_SERVED_SHARE);
    }
}
