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
        suspicion.recordAttempt(AttemptOutcome.BROKEN, false, 0, 10);
        assertThat(suspicion.health()).isEqualTo(ServerHealth.EJECTED);
    }

    @Test
    void twoServerErrorsCloseTogetherEjectTheServerAndOneDoesNot() {
        Suspicion suspicion = newSuspicion();
        suspicion.recordAttempt(AttemptOutcome.FAILED, false, 0, 100);
        assertThat(suspicion.health()).isEqualTo(ServerHealth.HEALTHY);
        suspicion.recordAttempt(AttemptOutcome.FAILED, false, 100, 600);
        assertThat(suspicion.health()).isEqualTo(ServerHealth.EJECTED);
    }

    @Test
    void fourGoodResponsesCancelAServerError() {
        Suspicion suspicion = newSuspicion();
        suspicion.recordAttempt(AttemptOutcome.FAILED, false, 0, 100);
        for (int response = 0; response < 4; response++) {
            suspicion.recordAttempt(AttemptOutcome.ANSWERED, false, 100, 200);
        }
        suspicion.recordAttempt(AttemptOutcome.FAILED, false, 200, 300);
        assertThat(suspicion.health()).isEqualTo(ServerHealth.HEALTHY);
    }

    @Test
    void shedAndCancelledAttemptsAreNoEvidence() {
        Suspicion suspicion = newSuspicion();
        for (int attempt = 0; attempt < 20; attempt++) {
            suspicion.recordAttempt(AttemptOutcome.NOT_RUN, false, 0, 10);
            suspicion.recordAttempt(AttemptOutcome.CANCELLED, false, 0, 10);
        }
        assertThat(suspicion.health()).isEqualTo(ServerHealth.HEALTHY);
    }

    @Test
    void aServerIsTriedAfterItsHoldOffAndIsHealthyAfterTwoResponses() {
        Suspicion suspicion = newSuspicion();
        suspicion.recordAttempt(AttemptOutcome.BROKEN, false, 0, 0);
        suspicion.advance(false, 0, HOLD_OFF_MILLIS - 1);
        assertThat(suspicion.health()).isEqualTo(ServerHealth.EJECTED);
        suspicion.advance(false, 0, HOLD_OFF_MILLIS);
        assertThat(suspicion.health()).isEqualTo(ServerHealth.PROBATION);
        suspicion.recordAttempt(AttemptOutcome.BROKEN, false, 10, HOLD_OFF_MILLIS + 5);
        assertThat(suspicion.health()).as("an attempt from before the hold-off").isEqualTo(ServerHealth.PROBATION);
        suspicion.recordAttempt(AttemptOutcome.ANSWERED, false, HOLD_OFF_MILLIS, HOLD_OFF_MILLIS + 10);
        suspicion.recordAttempt(AttemptOutcome.ANSWERED, false, HOLD_OFF_MILLIS, HOLD_OFF_MILLIS + 20);
        assertThat(suspicion.health()).isEqualTo(ServerHealth.HEALTHY);
    }

    @Test
    void aServerThatTheLoadNeedsIsTriedSoonerAndIsHealthyAfterOneResponse() {
        Suspicion suspicion = newSuspicion();
        suspicion.recordAttempt(AttemptOutcome.BROKEN, false, 0, 0);
        suspicion.advance(true, 0, NEEDED_HOLD_OFF_MILLIS - 1);
        assertThat(suspicion.health()).isEqualTo(ServerHealth.EJECTED);
        suspicion.advance(false, 0, NEEDED_HOLD_OFF_MILLIS);
        assertThat(suspicion.health()).as("not needed").isEqualTo(ServerHealth.EJECTED);
        suspicion.advance(true, 0, NEEDED_HOLD_OFF_MILLIS);
        assertThat(suspicion.health()).isEqualTo(ServerHealth.PROBATION);
        suspicion.recordAttempt(AttemptOutcome.ANSWERED, false, NEEDED_HOLD_OFF_MILLIS, NEEDED_HOLD_OFF_MILLIS + 10);
        assertThat(suspicion.health()).isEqualTo(ServerHealth.HEALTHY);
    }

    @Test
    void excusedBreaksLeaveTheStateAsItWasBeforeThem() {
        Suspicion suspicion = newSuspicion();
        suspicion.recordAttempt(AttemptOutcome.FAILED, false, 0, 0);
        suspicion.recordAttempt(AttemptOutcome.BROKEN, false, 0, 10);
        suspicion.recordAttempt(AttemptOutcome.BROKEN, false, 0, 20);
        suspicion.excuseBreaks();
        assertThat(suspicion.health()).isEqualTo(ServerHealth.HEALTHY);
        suspicion.recordAttempt(AttemptOutcome.FAILED, false, 20, 30);
        assertThat(suspicion.health())
                .as("the error before the breaks still counts")
                .isEqualTo(ServerHealth.EJECTED);
    }

    @Test
    void aFailedTrialLengthensTheHoldOffUpToItsLimit() {
        Suspicion suspicion = newSuspicion();
        suspicion.recordAttempt(AttemptOutcome.BROKEN, false, 0, 0);
        long nowMillis = 0;
        for (int trial = 0; trial < 10; trial++) {
            nowMillis += 3 * HOLD_OFF_MILLIS;
            suspicion.advance(false, 0, nowMillis);
            assertThat(suspicion.health()).isEqualTo(ServerHealth.PROBATION);
            suspicion.recordAttempt(AttemptOutcome.BROKEN, false, nowMillis, nowMillis);
        }
        suspicion.advance(false, 0, nowMillis + HOLD_OFF_MILLIS);
        assertThat(suspicion.health()).isEqualTo(ServerHealth.EJECTED);
    }

    @Test
    void requestsOfAFormerFaultThatEndLateDoNotEjectAServerThatAnswersAgain() {
        Suspicion suspicion = newSuspicion();
        for (int answered = 0; answered < 3; answered++) {
            suspicion.recordAttempt(AttemptOutcome.ANSWERED, false, 4_000 + 100 * answered, 5_000);
        }
        for (int overdue = 0; overdue < 6; overdue++) {
            suspicion.recordAttempt(AttemptOutcome.OVERDUE, false, 1_000 + 100 * overdue, 6_000 + 100 * overdue);
            suspicion.advance(false, 0, 6_000 + 100 * overdue);
        }
        suspicion.recordAttempt(AttemptOutcome.BROKEN, false, 2_000, 7_000);
        assertThat(suspicion.health()).isEqualTo(ServerHealth.HEALTHY);
    }

    @Test
    void aTrialThatFailsLateDoesNotCountIfALaterOneWasAnswered() {
        Suspicion suspicion = newSuspicion();
        suspicion.recordAttempt(AttemptOutcome.BROKEN, false, 0, 0);
        suspicion.advance(false, 0, HOLD_OFF_MILLIS);
        suspicion.recordAttempt(AttemptOutcome.ANSWERED, false, HOLD_OFF_MILLIS + 1_000, HOLD_OFF_MILLIS + 2_000);
        suspicion.recordAttempt(AttemptOutcome.OVERDUE, false, HOLD_OFF_MILLIS, HOLD_OFF_MILLIS + 5_000);
        assertThat(suspicion.health()).isEqualTo(ServerHealth.PROBATION);
        suspicion.recordAttempt(AttemptOutcome.OVERDUE, false, HOLD_OFF_MILLIS + 1_500, HOLD_OFF_MILLIS + 6_500);
        assertThat(suspicion.health()).isEqualTo(ServerHealth.EJECTED);
    }

    @Test
    void theHoldOffAfterATrialThatFailsLateBeginsWhenTheLatestTrialWasSent() {
        Suspicion suspicion = newSuspicion();
        suspicion.recordAttempt(AttemptOutcome.BROKEN, true, 0, 0);
        suspicion.advance(false, 0, HOLD_OFF_MILLIS);
        long trialMillis = HOLD_OFF_MILLIS + 3_000;
        suspicion.recordInFlight(HOLD_OFF_MILLIS, 0.1, trialMillis + 1_000);
        suspicion.recordInFlight(trialMillis, 0.5, trialMillis + 1_000);
        suspicion.recordAttempt(AttemptOutcome.OVERDUE, true, HOLD_OFF_MILLIS, trialMillis + 1_000);
        long endMillis = trialMillis + SuspicionSettings.of(HOLD_OFF_MILLIS).maximumRepeatableHoldOffMillis();
        suspicion.advance(false, 0, endMillis - 1);
        assertThat(suspicion.health()).isEqualTo(ServerHealth.EJECTED);
        suspicion.advance(false, 0, endMillis);
        assertThat(suspicion.health()).isEqualTo(ServerHealth.PROBATION);
    }

    @Test
    void aSilentServerIsEjectedLongBeforeItsRequestsTimeOut() {
        HealthMonitor monitor = newMonitor(0);
        recordResponses(monitor, 0, 5_000);
        // The last response of s0 was sent at 4.9 s, then it leaves four requests unanswered; the longest take 1 s.
        Map<String, ServerHealth> healthByName = Map.of();
        long nowMillis = 5_000;
        while (nowMillis < 8_000 && healthByName.get("s0") != ServerHealth.EJECTED) {
            nowMillis += 50;
            for (int request = 0; request < 4; request++) {
                monitor.recordInFlight("s0", "order", 1_000 * (nowMillis - 5_000 - 50 * request), nowMillis);
            }
            for (int server = 1; server < SERVER_COUNT; server++) {
                monitor.recordInFlight("s" + server, "order", 100_000, nowMillis);
            }
            healthByName = monitor.evaluate(nowMillis);
        }
        assertThat(healthByName).containsEntry("s0", ServerHealth.EJECTED);
        assertThat(nowMillis).isLessThanOrEqualTo(7_000);
        healthByName.remove("s0");
        assertThat(healthByName.values()).containsOnly(ServerHealth.HEALTHY);
    }

    @Test
    void requestsWhoseEndIsReportedALittleLateAreNoEvidence() {
        HealthMonitor monitor = newMonitor(0);
        for (long nowMillis = 100; nowMillis <= 5_000; nowMillis += 100) {
            for (int server = 0; server < SERVER_COUNT; server++) {
                monitor.record(
                        CompletedAttempt.ofUnknownEntryProxy("s" + server, "order", AttemptOutcome.ANSWERED, 50_000),
                        nowMillis);
                monitor.recordInFlight("s" + server, "order", 10_000, nowMillis);
            }
        }
        for (int request = 0; request < 4; request++) {
            monitor.recordInFlight("s0", "order", 280_000, 5_050);
        }
        assertThat(monitor.evaluate(5_050)).containsEntry("s0", ServerHealth.HEALTHY);
    }

    @Test
    void theAgesOfRequestsAreNoEvidenceAfterAPauseOfTheOwner() {
        HealthMonitor monitor = newMonitor(0);
        recordResponses(monitor, 0, 5_000);
        monitor.recordInFlight("s0", "order", 10_000, 5_000);
        monitor.evaluate(5_000);
        for (int request = 0; request < 4; request++) {
            monitor.recordInFlight("s0", "order", 4_000_000 + 50_000 * request, 9_000);
        }
        assertThat(monitor.evaluate(9_000)).containsEntry("s0", ServerHealth.HEALTHY);
    }

    @Test
    void requestsThatAllServersLeaveUnansweredAreNoEvidenceAgainstOne() {
        HealthMonitor monitor = newMonitor(0);
        recordResponses(monitor, 0, 5_000);
        for (long nowMillis = 5_050; nowMillis < 7_000; nowMillis += 50) {
            for (int server = 0; server < SERVER_COUNT; server++) {
                for (int request = 0; request < 4; request++) {
                    monitor.recordInFlight("s" + server, "order", 1_000 * (nowMillis - 5_000), nowMillis);
                }
            }
            assertThat(monitor.evaluate(nowMillis).values()).containsOnly(ServerHealth.HEALTHY);
        }
    }

    /** Records ten responses a second of each server, which take 0.1 to 1 s. */
    private static void recordResponses(HealthMonitor monitor, long fromMillis, long untilMillis) {
        for (long nowMillis = fromMillis + 100; nowMillis <= untilMillis; nowMillis += 100) {
            for (int server = 0; server < SERVER_COUNT; server++) {
                monitor.record(
                        CompletedAttempt.ofUnknownEntryProxy(
                                "s" + server, "order", AttemptOutcome.ANSWERED, 100_000 + nowMillis % 1_000 * 900),
                        nowMillis);
            }
        }
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
