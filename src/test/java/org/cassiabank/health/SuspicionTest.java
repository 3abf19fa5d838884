package org.cassiabank.health;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests to a server that has just failed one abruptly, and against ejections by too little evidence.
 */
class SuspicionTest {
    private static final long HOLD_OFF_MILLIS = 2_500;
    private static final long NEEDED_HOLD_OFF_MILLIS = 1_000;
    private static final int SERVER_COUNT = 8;

    @Test
    void oneBrokenConnectionEjectsTheServer() {
        Suspicion suspicion = newSuspicion();
        suspicion.recordAttempt(AttemptOutcome.BROKEN, 0, 10);
        assertThat(suspicion.health()).isEqualTo(ServerHealth.EJECTED);
    }

    @Test
    void twoServerErrorsCloseTogetherEjectTheServerAndOneDoesNot() {
        Suspicion suspicion = newSuspicion();
        suspicion.recordAttempt(AttemptOutcome.FAILED, 0, 100);
        assertThat(suspicion.health()).isEqualTo(ServerHealth.HEALTHY);
        suspicion.recordAttempt(AttemptOutcome.FAILED, 100, 600);
        assertThat(suspicion.health()).isEqualTo(ServerHealth.EJECTED);
    }

    @Test
    void fourGoodResponsesCancelAServerError() {
        Suspicion suspicion = newSuspicion();
        suspicion.recordAttempt(AttemptOutcome.FAILED, 0, 100);
        for (int response = 0; response < 4; response++) {
            suspicion.recordAttempt(AttemptOutcome.ANSWERED, 100, 200);
        }
        suspicion.recordAttempt(AttemptOutcome.FAILED, 200, 300);
        assertThat(suspicion.health()).isEqualTo(ServerHealth.HEALTHY);
    }

    @Test
    void shedAndCancelledAttemptsAreNoEvidence() {
        Suspicion suspicion = newSuspicion();
        for (int attempt = 0; attempt < 20; attempt++) {
            suspicion.recordAttempt(AttemptOutcome.NOT_RUN, 0, 10);
            suspicion.recordAttempt(AttemptOutcome.CANCELLED, 0, 10);
        }
        assertThat(suspicion.health()).isEqualTo(ServerHealth.HEALTHY);
    }

    @Test
    void aServerIsTriedAfterItsHoldOffAndIsHealthyAfterTwoResponses() {
        Suspicion suspicion = newSuspicion();
        suspicion.recordAttempt(AttemptOutcome.BROKEN, 0, 0);
        suspicion.advance(false, HOLD_OFF_MILLIS - 1);
        assertThat(suspicion.health()).isEqualTo(ServerHealth.EJECTED);
        suspicion.advance(false, HOLD_OFF_MILLIS);
        assertThat(suspicion.health()).isEqualTo(ServerHealth.PROBATION);
        suspicion.recordAttempt(AttemptOutcome.BROKEN, 10, HOLD_OFF_MILLIS + 5);
        assertThat(suspicion.health()).as("an attempt from before the hold-off").isEqualTo(ServerHealth.PROBATION);
        suspicion.recordAttempt(AttemptOutcome.ANSWERED, HOLD_OFF_MILLIS, HOLD_OFF_MILLIS + 10);
        suspicion.recordAttempt(AttemptOutcome.ANSWERED, HOLD_OFF_MILLIS, HOLD_OFF_MILLIS + 20);
        assertThat(suspicion.health()).isEqualTo(ServerHealth.HEALTHY);
    }

    @Test
    void aServerThatTheLoadNeedsIsTriedSoonerAndIsHealthyAfterOneResponse() {
        Suspicion suspicion = newSuspicion();
        suspicion.recordAttempt(AttemptOutcome.BROKEN, 0, 0);
        suspicion.advance(true, NEEDED_HOLD_OFF_MILLIS - 1);
        assertThat(suspicion.health()).isEqualTo(ServerHealth.EJECTED);
        suspicion.advance(false, NEEDED_HOLD_OFF_MILLIS);
        assertThat(suspicion.health()).as("not needed").isEqualTo(ServerHealth.EJECTED);
        suspicion.advance(true, NEEDED_HOLD_OFF_MILLIS);
        assertThat(suspicion.health()).isEqualTo(ServerHealth.PROBATION);
        suspicion.recordAttempt(AttemptOutcome.ANSWERED, NEEDED_HOLD_OFF_MILLIS, NEEDED_HOLD_OFF_MILLIS + 10);
        assertThat(suspicion.health()).isEqualTo(ServerHealth.HEALTHY);
    }

    @Test
    void excusedBreaksLeaveTheStateAsItWasBeforeThem() {
        Suspicion suspicion = newSuspicion();
        suspicion.recordAttempt(AttemptOutcome.FAILED, 0, 0);
        suspicion.recordAttempt(AttemptOutcome.BROKEN, 0, 10);
        suspicion.recordAttempt(AttemptOutcome.BROKEN, 0, 20);
        suspicion.excuseBreaks();
        assertThat(suspicion.health()).isEqualTo(ServerHealth.HEALTHY);
        suspicion.recordAttempt(AttemptOutcome.FAILED, 20, 30);
        assertThat(suspicion.health())
                .as("the error before the breaks still counts")
                .isEqualTo(ServerHealth.EJECTED);
    }

    @Test
    void aFailedTrialLengthensTheHoldOffUpToItsLimit() {
        Suspicion suspicion = newSuspicion();
        suspicion.recordAttempt(AttemptOutcome.BROKEN, 0, 0);
        long nowMillis = 0;
        for (int trial = 0; trial < 10; trial++) {
            nowMillis += 3 * HOLD_OFF_MILLIS;
            suspicion.advance(false, nowMillis);
            assertThat(suspicion.health()).isEqualTo(ServerHealth.PROBATION);
            suspicion.recordAttempt(AttemptOutcome.BROKEN, nowMillis, nowMillis);
        }
        suspicion.advance(false, nowMillis + HOLD_OFF_MILLIS);
        assertThat(suspicion.health()).isEqualTo(ServerHealth.EJECTED);
    }

    @Test
    void theFloorLimitsHowManySuspectServersAreExcluded() {
        HealthMonitor monitor = newMonitor(6);
        for (int server = 0; server < 5; server++) {
            monitor.record(
                    CompletedAttempt.ofUnknownEntryProxy("s" + server, "order", AttemptOutcome.BROKEN, 5_000),
                    100 + 10 * server);
        }
        Map<String, ServerHealth> healthByName = monitor.evaluate(200);
        assertThat(healthByName.values().stream().filter(health -> health == ServerHealth.HEALTHY))
                .hasSize(6);
        assertThat(healthByName).containsEntry("s4", ServerHealth.EJECTED).containsEntry("s3", ServerHealth.EJECTED);
    }

    @Test
    void aDeadlineThatIsShortForItsRouteIsNoEvidence() {
        HealthMonitor monitor = newMonitor(0);
        for (int attempt = 0; attempt < 50; attempt++) {
            monitor.record(
                    CompletedAttempt.ofUnknownEntryProxy(
                            "s" + attempt % SERVER_COUNT, "probe", AttemptOutcome.OVERDUE, 400_000),
                    attempt * 20L);
        }
        assertThat(monitor.evaluate(1_000).values()).containsOnly(ServerHealth.HEALTHY);
    }

    /**
     * Simulates 28 orders a second over 8 servers. Three of them, chosen at random every 9 s, break 85% of their
     * connections; 1.2% of the other orders fail.
     */
    @Test
    void fewOrdersAreLostToServersThatBreakMostConnections() {
        int lostOrders = 0;
        int orderCount = 0;
        for (int seed = 1; seed <= 20; seed++) {
            lostOrders += countLostOrders(seed);
            orderCount += 28 * 60;
        }
        // Without ejection, three eighths of the servers lose 85% of their orders: 32% of all.
        assertThat((double) lostOrders / orderCount).isLessThan(0.06);
    }

    private static int countLostOrders(int seed) {
        SplittableRandom random = new SplittableRandom(seed);
        HealthMonitor monitor = newMonitor(4);
        boolean[] isFaulty = new boolean[SERVER_COUNT];
        long[] lastTrialMillis = new long[SERVER_COUNT];
        int lostOrders = 0;
        for (int order = 0; order < 28 * 60; order++) {
            long nowMillis = order * 1_000L / 28;
            if (order % (28 * 9) == 0) {
                java.util.Arrays.fill(isFaulty, false);
                while (IntStream.range(0, SERVER_COUNT)
                                .filter(server -> isFaulty[server])
                                .count()
                        < 3) {
                    isFaulty[random.nextInt(SERVER_COUNT)] = true;
                }
            }
            Map<String, ServerHealth> healthByName = monitor.evaluate(nowMillis);
            int server = chooseServer(healthByName, lastTrialMillis, nowMillis, random);
            boolean isBroken = isFaulty[server] && random.nextDouble() < 0.85;
            AttemptOutcome outcome = isBroken
                    ? AttemptOutcome.BROKEN
                    : random.nextDouble() < 0.012 ? AttemptOutcome.FAILED : AttemptOutcome.ANSWERED;
            lostOrders += isBroken ? 1 : 0;
            monitor.record(
                    CompletedAttempt.ofUnknownEntryProxy("s" + server, "order", outcome, isBroken ? 5_000 : 140_000),
                    nowMillis);
        }
        return lostOrders;
    }

    /** Chooses a server on probation at most every 500 ms each, else a random healthy one. */
    private static int chooseServer(
            Map<String, ServerHealth> healthByName, long[] lastTrialMillis, long nowMillis, SplittableRandom random) {
        for (int server = 0; server < SERVER_COUNT; server++) {
            if (healthByName.get("s" + server) == ServerHealth.PROBATION
                    && nowMillis - lastTrialMillis[server] >= 500) {
                lastTrialMillis[server] = nowMillis;
                return server;
            }
        }
        List<Integer> healthy = IntStream.range(0, SERVER_COUNT)
                .filter(server -> healthByName.get("s" + server) == ServerHealth.HEALTHY)
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
                IntStream.range(0, SERVER_COUNT)
                        .mapToObj(server -> MonitoredServer.ofUnknownDomain("s" + server, false, true))
                        .toList(),
                floor,
                0);
        return monitor;
    }
}
