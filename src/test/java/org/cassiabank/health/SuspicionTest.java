package org.cassiabank.health;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Guards against orders that go on to a server that has just failed one, and against servers avoided without need. */
class SuspicionTest {
    private static final long HOLD_OFF_MILLIS = 2_500;
    private static final int SERVERS = 8;

    @Test
    void oneBrokenConnectionIsEnough() {
        Suspicion suspicion = newSuspicion();
        suspicion.note(AttemptOutcome.BROKEN, 0, 10);
        assertThat(suspicion.health()).isEqualTo(ServerHealth.EJECTED);
    }

    @Test
    void oneServerErrorIsNotEnoughAndTwoCloseTogetherAre() {
        Suspicion suspicion = newSuspicion();
        suspicion.note(AttemptOutcome.FAILED, 0, 100);
        assertThat(suspicion.health()).isEqualTo(ServerHealth.HEALTHY);
        suspicion.note(AttemptOutcome.FAILED, 100, 600);
        assertThat(suspicion.health()).isEqualTo(ServerHealth.EJECTED);
    }

    @Test
    void goodAnswersMakeUpForAServerError() {
        Suspicion suspicion = newSuspicion();
        suspicion.note(AttemptOutcome.FAILED, 0, 100);
        for (int answer = 0; answer < 4; answer++) {
            suspicion.note(AttemptOutcome.ANSWERED, 100, 200);
        }
        suspicion.note(AttemptOutcome.FAILED, 200, 300);
        assertThat(suspicion.health()).isEqualTo(ServerHealth.HEALTHY);
    }

    @Test
    void shedAndCancelledWorkIsNoEvidence() {
        Suspicion suspicion = newSuspicion();
        for (int attempt = 0; attempt < 20; attempt++) {
            suspicion.note(AttemptOutcome.NOT_RUN, 0, 10);
            suspicion.note(AttemptOutcome.CANCELLED, 0, 10);
        }
        assertThat(suspicion.health()).isEqualTo(ServerHealth.HEALTHY);
    }

    @Test
    void aServerIsTriedAfterItsHoldOffAndClearedByTwoAnswers() {
        Suspicion suspicion = newSuspicion();
        suspicion.note(AttemptOutcome.BROKEN, 0, 0);
        suspicion.advance(HOLD_OFF_MILLIS - 1);
        assertThat(suspicion.health()).isEqualTo(ServerHealth.EJECTED);
        suspicion.advance(HOLD_OFF_MILLIS);
        assertThat(suspicion.health()).isEqualTo(ServerHealth.PROBATION);
        suspicion.note(AttemptOutcome.BROKEN, 10, HOLD_OFF_MILLIS + 5);
        assertThat(suspicion.health()).as("an attempt from before the hold-off").isEqualTo(ServerHealth.PROBATION);
        suspicion.note(AttemptOutcome.ANSWERED, HOLD_OFF_MILLIS, HOLD_OFF_MILLIS + 10);
        suspicion.note(AttemptOutcome.ANSWERED, HOLD_OFF_MILLIS, HOLD_OFF_MILLIS + 20);
        assertThat(suspicion.health()).isEqualTo(ServerHealth.HEALTHY);
    }

    @Test
    void aFailedTrialLengthensTheHoldOffUpToItsLimit() {
        Suspicion suspicion = newSuspicion();
        suspicion.note(AttemptOutcome.BROKEN, 0, 0);
        long now = 0;
        for (int trial = 0; trial < 10; trial++) {
            now += 3 * HOLD_OFF_MILLIS;
            suspicion.advance(now);
            assertThat(suspicion.health()).isEqualTo(ServerHealth.PROBATION);
            suspicion.note(AttemptOutcome.BROKEN, now, now);
        }
        suspicion.advance(now + HOLD_OFF_MILLIS);
        assertThat(suspicion.health()).isEqualTo(ServerHealth.EJECTED);
    }

    @Test
    void theFloorLimitsWhatSuspicionTakesOut() {
        HealthMonitor monitor = newMonitor(6);
        for (int server = 0; server < 5; server++) {
            monitor.record(new CompletedAttempt("s" + server, "order", AttemptOutcome.BROKEN, 5_000), 100 + server);
        }
        Map<String, ServerHealth> verdicts = monitor.evaluate(200);
        assertThat(verdicts.values().stream().filter(health -> health == ServerHealth.HEALTHY))
                .hasSize(6);
        assertThat(verdicts).containsEntry("s4", ServerHealth.EJECTED).containsEntry("s3", ServerHealth.EJECTED);
    }

    @Test
    void aDeadlineThatIsShortForItsRouteIsNoEvidence() {
        HealthMonitor monitor = newMonitor(0);
        for (int attempt = 0; attempt < 50; attempt++) {
            monitor.record(
                    new CompletedAttempt("s" + attempt % SERVERS, "probe", AttemptOutcome.OVERDUE, 400_000),
                    attempt * 20L);
        }
        assertThat(monitor.evaluate(1_000).values()).containsOnly(ServerHealth.HEALTHY);
    }

    /**
     * Plays the orders of the kitchens: 28 a second over 8 servers, of which three, drawn anew every 9 s, break 85% of
     * their connections; 1.2% of all orders fail at healthy servers.
     */
    @Test
    void fewOrdersAreLostToServersThatBreakMostConnections() {
        int lost = 0;
        int orders = 0;
        for (int seed = 1; seed <= 20; seed++) {
            lost += lostOrders(seed);
            orders += 28 * 60;
        }
        // Without avoiding, three eighths of the servers lose 85% of their orders: 32%.
        assertThat((double) lost / orders).isLessThan(0.06);
    }

    private static int lostOrders(int seed) {
        SplittableRandom random = new SplittableRandom(seed);
        HealthMonitor monitor = newMonitor(4);
        boolean[] bad = new boolean[SERVERS];
        long[] lastTrial = new long[SERVERS];
        int lost = 0;
        for (int order = 0; order < 28 * 60; order++) {
            long now = order * 1_000L / 28;
            if (order % (28 * 9) == 0) {
                java.util.Arrays.fill(bad, false);
                while (IntStream.range(0, SERVERS).filter(server -> bad[server]).count() < 3) {
                    bad[random.nextInt(SERVERS)] = true;
                }
            }
            Map<String, ServerHealth> verdicts = monitor.evaluate(now);
            int server = choose(verdicts, lastTrial, now, random);
            boolean breaks = bad[server] && random.nextDouble() < 0.85;
            AttemptOutcome outcome = breaks
                    ? AttemptOutcome.BROKEN
                    : random.nextDouble() < 0.012 ? AttemptOutcome.FAILED : AttemptOutcome.ANSWERED;
            lost += breaks ? 1 : 0;
            monitor.record(new CompletedAttempt("s" + server, "order", outcome, breaks ? 5_000 : 140_000), now);
        }
        return lost;
    }

    /** Sends an order to a server on probation every 500 ms, else to any healthy one. */
    private static int choose(Map<String, ServerHealth> verdicts, long[] lastTrial, long now, SplittableRandom random) {
        for (int server = 0; server < SERVERS; server++) {
            if (verdicts.get("s" + server) == ServerHealth.PROBATION && now - lastTrial[server] >= 500) {
                lastTrial[server] = now;
                return server;
            }
        }
        List<Integer> healthy = IntStream.range(0, SERVERS)
                .filter(server -> verdicts.get("s" + server) == ServerHealth.HEALTHY)
                .boxed()
                .toList();
        return healthy.get(random.nextInt(healthy.size()));
    }

    private static Suspicion newSuspicion() {
        return new Suspicion(SuspicionSettings.of(HOLD_OFF_MILLIS), 0);
    }

    private static HealthMonitor newMonitor(int floor) {
        HealthMonitor monitor =
                HealthMonitor.create(HealthSettings.defaults().withSuspicion(SuspicionSettings.of(HOLD_OFF_MILLIS)));
        monitor.replaceServers(
                IntStream.range(0, SERVERS)
                        .mapToObj(server -> new MonitoredServer("s" + server, false, true))
                        .toList(),
                floor,
                0);
        return monitor;
    }
}
