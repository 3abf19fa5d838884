package org.cassiabank.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against sound servers that get nothing because of requests that they were sent during a former disruption. */
class SilentFaultLoadTest {
    private static final int SERVERS = 21;
    private static final int FAULTY_SERVERS = 7;
    private static final double DURATION_MILLIS = 34_000;
    private static final double FAULT_START_MILLIS = 6_000;
    private static final double PAUSE_MILLIS = 2_500;
    private static final double SLOW_MILLIS = 8_000;
    private static final double SLOWDOWN = 4;
    private static final int SEEDS = 16;

    /** The platform's share of the sound servers that must get requests while a tenth of all is not served. */
    private static final double FLOOR_SHARE = 0.7;

    private static final double FLOOR_WINDOW_MILLIS = 2_000;

    /** While the former servers are sound again, the others are slow, so that the load needs all of them. */
    @ParameterizedTest
    @CsvSource({
        "SILENT, 0.6, 2000, 35", "SILENT, 0.6, 2000, 45", "SILENT, 0.6, 4000, 35", "SILENT, 0.6, 4000, 45",
        "SILENT, 0.6, 7000, 35", "SILENT, 0.6, 7000, 45", "BREAKS, 0.75, 2000, 35", "BREAKS, 0.75, 4000, 45",
        "BREAKS, 0.75, 7000, 35", "BREAKS, 0.75, 7000, 45", "HANGS, 1, 2000, 35", "HANGS, 1, 4000, 45",
        "HANGS, 1, 7000, 35", "HANGS, 1, 7000, 45", "LOSES, 0.6, 2000, 35", "LOSES, 0.6, 4000, 45",
        "LOSES, 0.6, 7000, 35", "LOSES, 0.6, 7000, 45"
    })
    void serversThatAreSoundAgainGetRequestsWhileTheOthersAreSlow(
            SimulatedFault.Kind fault, double share, double faultMillis, double requestsPerSecond) {
        List<String> violations = new ArrayList<>();
        for (int seed = 1; seed <= SEEDS; seed++) {
            OwnerSimulation simulation = OwnerSimulation.create(SERVERS, 6, 48, seed)
                    .addLongTailedLoad("grade", 1_000, 0.8, 5_000, DURATION_MILLIS, requestsPerSecond * 0.62)
                    .addLongTailedLoad("lot", 1_500, 0.5, 8_000, DURATION_MILLIS, requestsPerSecond * 0.38);
            double faultEndMillis = FAULT_START_MILLIS + faultMillis;
            double slowStartMillis = faultEndMillis + PAUSE_MILLIS;
            for (int server = 0; server < SERVERS; server++) {
                if (server < FAULTY_SERVERS) {
                    simulation.addFaultyTime(server, FAULT_START_MILLIS, faultEndMillis, share, fault);
                } else {
                    simulation.addSlowTime(server, slowStartMillis, slowStartMillis + SLOW_MILLIS, SLOWDOWN);
                }
            }
            List<Double> times =
                    simulation.run().timesWithIdleSoundServers(DURATION_MILLIS, FLOOR_WINDOW_MILLIS, FLOOR_SHARE);
            if (!times.isEmpty()) {
                violations.add("seed %d: %d times from %.1f s to %.1f s"
                        .formatted(seed, times.size(), times.getFirst() / 1_000, times.getLast() / 1_000));
            }
        }
        assertThat(violations).isEmpty();
    }
}
