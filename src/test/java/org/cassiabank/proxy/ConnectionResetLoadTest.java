package org.cassiabank.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.LongFunction;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against sound servers that get no requests because connections to many of them broke at one moment. */
class ConnectionResetLoadTest {
    /** The platform's share of the sound servers of a service that must get requests while some are not served. */
    private static final double FLOOR_SHARE = 0.7;

    private static final double FLOOR_WINDOW_MILLIS = 2_000;
    private static final double DURATION_MILLIS = 24_000;
    private static final int SEEDS = 5;
    private static final double FROM_MILLIS = 5_000;
    private static final double MINIMUM_SERVED_SHARE = 0.95;

    /** Slots that the requests of 1,100 ms occupy in the mean, of 126. */
    @ParameterizedTest
    @ValueSource(ints = {27, 43, 65})
    void soundServersStayInUseWhenConnectionsOfAThirdOfTheEntriesAreReset(int occupiedSlots) {
        assertSoundServersStayInUse(seed -> OwnerSimulation.create(21, 6, 48, seed)
                .addLoad(1_100, true, 5_000, DURATION_MILLIS, time -> occupiedSlots / 1.1)
                .addReset(6_000, 0.35, 0.55)
                .addReset(12_000, 0.35, 0.55)
                .addReset(14_000, 0.35, 0.55));
    }

    @Test
    void soundServersStayInUseWhenHalfOfAllConnectionsAreResetThreeTimes() {
        assertSoundServersStayInUse(seed -> OwnerSimulation.create(20, 6, 4, seed)
                .addLoad(200, true, 5_000, DURATION_MILLIS, time -> 450)
                .addReset(6_000, 1, 0.5)
                .addReset(7_500, 1, 0.5)
                .addReset(9_000, 1, 0.5));
    }

    @Test
    void soundServersOfOrdersStayInUseWhenConnectionsAreReset() {
        assertSoundServersStayInUse(seed -> OwnerSimulation.create(9, 6, 48, seed)
                .addLoad(390, false, 2_500, DURATION_MILLIS, time -> 75)
                .addReset(6_000, 0.35, 0.55)
                .addReset(12_000, 0.35, 0.55)
                .addReset(14_000, 0.35, 0.55));
    }

    @Test
    void serversThatBreakMostOrdersAreStillAvoidedWhenTheyBeginTogether() {
        for (int seed = 1; seed <= SEEDS; seed++) {
            OwnerSimulation simulation =
                    OwnerSimulation.create(9, 6, 48, seed).addLoad(390, false, 2_500, DURATION_MILLIS, time -> 75);
            for (int server = 0; server < 3; server++) {
                simulation.addFaultyTime(server, 6_000, 10_000, 0.75);
            }
            simulation.run();
            // Without a judgement of servers a quarter of the orders of these 4 s is lost; a fault has to be found in 2
            // s.
            assertThat(simulation.lostCalls()).as("seed " + seed).isLessThan(75 * 4 / 8);
        }
    }

    @Test
    void serversOfOneFailureDomainThatCrashTogetherAreAvoidedAtOnce() {
        for (int seed = 1; seed <= SEEDS; seed++) {
            OwnerSimulation simulation = OwnerSimulation.create(21, 6, 48, seed)
                    .addLoad(1_100, false, 5_000, DURATION_MILLIS, time -> 40)
                    .addCrash(8_000, Set.of(0, 4, 8, 12, 16, 20))
                    .run();
            // 44 slots are in use, six of 21 servers crash, and each of them may break one more order in a hold-off.
            assertThat(simulation.lostCalls()).as("seed " + seed).isLessThan(44 * 6 / 21 + 3 * 6);
        }
    }

    @ParameterizedTest
    @ValueSource(doubles = {1, 1.6})
    void resetsBesideServersThatFailByThemselvesLeaveTheSoundOnesInUse(double load) {
        assertSoundServersStayInUse(seed -> {
            OwnerSimulation simulation = OwnerSimulation.create(21, 6, 48, seed)
                    .addLoad(1_100, true, 5_000, DURATION_MILLIS, time -> 25 * load)
                    .addReset(6_000, 0.35, 0.55)
                    .addReset(12_000, 0.35, 0.55)
                    .addReset(14_000, 0.35, 0.55);
            for (int server = 0; server < 18; server++) {
                double fromMillis = 4_000 * (server % 6);
                simulation.addFaultyTime(server, fromMillis, fromMillis + 3_000, 0.75);
            }
            return simulation;
        });
    }

    /** Checks the time from a second before the first reset. */
    private static void assertSoundServersStayInUse(LongFunction<OwnerSimulation> simulationOfSeed) {
        List<String> violations = new ArrayList<>();
        for (int seed = 1; seed <= SEEDS; seed++) {
            OwnerSimulation simulation = simulationOfSeed.apply(seed).run();
            double used = simulation.smallestUsedShare(FROM_MILLIS, DURATION_MILLIS, FLOOR_WINDOW_MILLIS);
            double served = simulation.servedShare(FROM_MILLIS, DURATION_MILLIS);
            if (used < FLOOR_SHARE || served < MINIMUM_SERVED_SHARE) {
                violations.add("seed %d: %.2f of the sound servers got a request within 2 s, %.3f served"
                        .formatted(seed, used, served));
            }
        }
        assertThat(violations).isEmpty();
    }
}
