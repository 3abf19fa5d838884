package org.cassiabank.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Guards against unrepeatable requests that are lost to tests of servers which fail on their own for seconds. */
class IndependentFaultLoadTest {
    private static final int SERVERS = 17;
    private static final int SLOTS = 2;
    private static final int ENTRIES = 48;
    private static final double WORK_MILLIS = 150;
    private static final long DEADLINE_MILLIS = 1_500;
    private static final double DURATION_MILLIS = 60_000;
    private static final double BROKEN_SHARE = 0.85;
    private static final int SEEDS = 16;

    /** Two of them may be tests, so that the third one shows that a server is in use. */
    private static final int REQUESTS_IN_USE = 3;

    /** The platform's share of the sound servers that must get requests while a tenth of all is not served. */
    private static final double FLOOR_SHARE = 0.7;

    private static final double FLOOR_WINDOW_MILLIS = 2_000;

    /** About 8 of the 17 servers fail at any time, and the requests need 8 of the 34 slots. */
    @Test
    void fewUnrepeatableRequestsAreLostToTestsAndServersAreUsedSoonAfterTheirRecovery() {
        for (int seed = 1; seed <= SEEDS; seed++) {
            Random random = new Random(seed);
            OwnerSimulation simulation = OwnerSimulation.create(SERVERS, SLOTS, ENTRIES, seed)
                    .addLoad(WORK_MILLIS, false, DEADLINE_MILLIS, DURATION_MILLIS, time -> 53);
            for (int server = 0; server < SERVERS; server++) {
                double start = random.nextBoolean() ? -random.nextDouble() * 12_000 : random.nextDouble() * 14_000;
                while (start < DURATION_MILLIS) {
                    double end = start + 5_000 + random.nextDouble() * 15_000;
                    simulation.addFaultyTime(server, start, end, BROKEN_SHARE);
                    start = end + 8_000 + random.nextDouble() * 12_000;
                }
            }
            simulation.run();
            List<Double> recoveries =
                    simulation.serverUse().millisUntilRequests(REQUESTS_IN_USE, 12_000, DURATION_MILLIS);
            assertThat((double) simulation.serverUse().lostTests() / simulation.callCount())
                    .as("share lost to tests, seed " + seed)
                    .isLessThanOrEqualTo(0.03);
            assertThat(recoveries).as("recoveries, seed " + seed).isNotEmpty();
            assertThat(Collections.max(recoveries))
                    .as("slowest recovery, seed " + seed)
                    .isLessThanOrEqualTo(12_000);
            assertThat(simulation.timesWithIdleSoundServers(DURATION_MILLIS, FLOOR_WINDOW_MILLIS, FLOOR_SHARE))
                    .as("times with idle sound servers, seed " + seed)
                    .isEmpty();
        }
    }

    /** The requests need 28.5 slots, more than 80% of those of 17 servers; eight servers fail for a time. */
    @Test
    void neededServersAreUsedWithinFourSecondsAfterTheirRecovery() {
        for (int seed = 1; seed <= SEEDS; seed++) {
            OwnerSimulation simulation = OwnerSimulation.create(SERVERS, SLOTS, ENTRIES, seed)
                    .addLoad(WORK_MILLIS, false, DEADLINE_MILLIS, 30_000, time -> 190);
            for (int server = 0; server < 8; server++) {
                simulation.addFaultyTime(server, 5_000, 17_000, BROKEN_SHARE);
            }
            simulation.run();
            assertThat(Collections.max(simulation.serverUse().millisUntilRequests(REQUESTS_IN_USE, 4_000, 30_000)))
                    .as("slowest recovery, seed " + seed)
                    .isLessThanOrEqualTo(4_000);
            assertThat(simulation.timesWithIdleSoundServers(30_000, FLOOR_WINDOW_MILLIS, FLOOR_SHARE))
                    .as("times with idle sound servers, seed " + seed)
                    .isEmpty();
        }
    }
}
