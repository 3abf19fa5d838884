package org.cassiabank.health;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Guards against violations of the rules of ejection, probation and readmission, in a shard of eight servers with few
 * faulty ones.
 */
class HealthMonitorTest {
    private final HealthMonitor monitor = HealthMonitor.create(HealthSettings.defaults());
    private long nowMillis = 1_000;
    private Map<String, ServerHealth> healthByName = Map.of();

    @Test
    void theWorstServerIsEjectedAndReplacesALessSevereOne() {
        updateServers(8, 7);
        completeRounds(100, Map.of());
        completeRounds(60, Map.of("s1", 40));
        assertThat(ejected()).containsExactly("s1");
        completeRounds(60, Map.of("s2", 100));
        assertThat(ejected()).containsExactly("s2");
        assertThat(healthByName).containsEntry("s1", ServerHealth.HEALTHY);
    }

    @Test
    void removalOfAServerReadmitsTheLeastSevereOne() {
        updateServers(8, 5);
        completeRounds(100, Map.of());
        completeRounds(60, Map.of("s1", 40, "s2", 100, "s3", 100));
        assertThat(ejected()).containsExactlyInAnyOrder("s1", "s2", "s3");
        updateServers(7, 5);
        healthByName = monitor.evaluate(nowMillis);
        assertThat(ejected()).containsExactlyInAnyOrder("s2", "s3");
    }

    @Test
    void noServerIsEjectedWhenMoreThanHalfAreOutliers() {
        updateServers(8, 0);
        completeRounds(100, Map.of());
        completeRounds(100, Map.of("s0", 50, "s1", 50, "s2", 50, "s3", 50, "s4", 50));
        assertThat(ejected()).isEmpty();
    }

    @Test
    void aNewMonitorOfAFailingServiceEjectsNoServer() {
        updateServers(8, 0);
        completeRounds(500, Map.of("s0", 50, "s1", 50, "s2", 50, "s3", 50, "s4", 50, "s5", 50, "s6", 50, "s7", 50));
        assertThat(ejected()).isEmpty();
    }

    @Test
    void attemptsThatDidNotRunOrWereCancelledEarlyAreNoEvidence() {
        updateServers(8, 0);
        completeRounds(100, Map.of());
        for (int round = 0; round < 200; round++) {
            complete("s1", "menu", round % 2 == 0 ? AttemptOutcome.NOT_RUN : AttemptOutcome.CANCELLED, 20_000);
            completeRounds(1, Map.of());
        }
        assertThat(ejected()).isEmpty();
    }

    @Test
    void attemptsThatWereCancelledLateCountAsSlow() {
        updateServers(8, 0);
        completeRounds(100, Map.of());
        for (int round = 0; round < 60; round++) {
            complete("s1", "menu", AttemptOutcome.CANCELLED, 300_000 + 3_000 * round);
            completeRounds(1, Map.of());
        }
        assertThat(ejected()).containsExactly("s1");
    }

    @Test
    void aLongOrFailingRouteDoesNotEjectItsServer() {
        updateServers(8, 0);
        for (int round = 0; round < 300; round++) {
            completeRounds(1, Map.of());
            complete(
                    round % 8 == 0 ? "s2" : "s1",
                    "ledger",
                    round % 3 == 0 ? AttemptOutcome.FAILED : AttemptOutcome.ANSWERED,
                    2_000_000);
        }
        assertThat(ejected()).isEmpty();
    }

    @Test
    void oneSilentConnectionDoesNotEjectItsServer() {
        updateServers(8, 0);
        completeRounds(100, Map.of());
        long startMillis = nowMillis;
        for (int round = 0; round < 100; round++) {
            monitor.recordInFlight("s1", "menu", (nowMillis - startMillis) * 1_000, nowMillis);
            completeRounds(1, Map.of());
        }
        assertThat(ejected()).isEmpty();
    }

    @Test
    void aServerThatTheLoadNeedsIsTriedAfterItsFirstHoldOffAndHealthyAfterTwoResponses() {
        updateServers(8, 0);
        completeRounds(100, Map.of());
        for (int ejection = 0; ejection < 3; ejection++) {
            completeRounds(10, Map.of("s1", 100));
            assertThat(ejected()).containsExactly("s1");
            nowMillis += 1_100;
            assertThat(monitor.evaluate(false, nowMillis).get("s1"))
                    .isEqualTo(ejection == 0 ? ServerHealth.PROBATION : ServerHealth.EJECTED);
            assertThat(monitor.evaluate(true, nowMillis)).containsEntry("s1", ServerHealth.PROBATION);
            for (int response = 0; response < 2; response++) {
                nowMillis += 30;
                complete("s1", "menu", AttemptOutcome.ANSWERED, 20_000);
            }
            assertThat(monitor.evaluate(true, nowMillis)).containsEntry("s1", ServerHealth.HEALTHY);
        }
    }

    @Test
    void holdOffDoublesWithEachEjectionUpToFiveMinutes() {
        updateServers(8, 0);
        completeRounds(100, Map.of());
        completeRounds(10, Map.of("s1", 100));
        List<Long> holdOffSeconds = new ArrayList<>();
        for (int ejection = 0; ejection < 10; ejection++) {
            long startMillis = nowMillis;
            while (healthByName.get("s1") == ServerHealth.EJECTED) {
                nowMillis += 100;
                healthByName = monitor.evaluate(nowMillis);
            }
            holdOffSeconds.add((nowMillis - startMillis + 999) / 1_000);
            nowMillis += 100;
            complete("s1", "menu", AttemptOutcome.FAILED, 20_000);
            nowMillis += 100;
            healthByName = monitor.evaluate(nowMillis);
            assertThat(ejected()).containsExactly("s1");
        }
        assertThat(holdOffSeconds).containsExactly(1L, 2L, 4L, 8L, 16L, 32L, 64L, 128L, 256L, 300L);
    }

    @Test
    void aLongHealthyTimeShortensTheNextHoldOff() {
        updateServers(8, 0);
        completeRounds(100, Map.of());
        for (int ejection = 0; ejection < 3; ejection++) {
            completeRounds(40, Map.of("s1", 100));
            assertThat(ejected()).containsExactly("s1");
            completeRounds(200, Map.of());
            assertThat(ejected()).isEmpty();
        }
        for (int second = 0; second < 200; second++) {
            nowMillis += 1_000;
            completeRounds(1, Map.of());
        }
        completeRounds(40, Map.of("s1", 100));
        assertThat(ejected()).containsExactly("s1");
        nowMillis += 1_100;
        assertThat(monitor.evaluate(nowMillis)).containsEntry("s1", ServerHealth.PROBATION);
    }

    @Test
    void aResponseToAnAttemptFromBeforeTheEjectionDoesNotEndProbation() {
        updateServers(8, 0);
        completeRounds(100, Map.of());
        completeRounds(20, Map.of("s1", 100));
        nowMillis += 1_000;
        healthByName = monitor.evaluate(nowMillis);
        for (int number = 0; number < 10; number++) {
            complete("s1", "menu", AttemptOutcome.ANSWERED, 1_100_000);
        }
        assertThat(monitor.evaluate(nowMillis)).containsEntry("s1", ServerHealth.PROBATION);
    }

    @Test
    void invalidArgumentsAreRejected() {
        assertThatThrownBy(() -> monitor.replaceServers(List.of(), -1, 0)).isInstanceOf(IllegalArgumentException.class);
        MonitoredServer server = MonitoredServer.ofUnknownDomain("a", false, true);
        assertThatThrownBy(() -> monitor.replaceServers(List.of(server, server), 0, 0))
                .isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> CompletedAttempt.ofUnknownEntryProxy("a", "b", AttemptOutcome.FAILED, -1))
                .isInstanceOf(IllegalArgumentException.class);
    }

    private void updateServers(int serverCount, int floor) {
        monitor.replaceServers(
                IntStream.range(8 - serverCount, 8)
                        .mapToObj(number -> MonitoredServer.ofUnknownDomain("s" + (7 - number), false, true))
                        .toList(),
                floor,
                nowMillis);
    }

    /**
     * Completes one attempt every 50 ms at each server that is not ejected; the given servers fail a share of theirs.
     */
    private void completeRounds(int rounds, Map<String, Integer> failingPercent) {
        for (int round = 0; round < rounds; round++) {
            for (int number = 0; number < 8; number++) {
                String name = "s" + number;
                // The multiplier distributes the failures of each server evenly and differently from those of the
                // others.
                boolean fails = (round * 37 + number * 13) % 100 < failingPercent.getOrDefault(name, 0);
                if (healthByName.get(name) != ServerHealth.EJECTED) {
                    complete(
                            name,
                            "menu",
                            fails ? AttemptOutcome.FAILED : AttemptOutcome.ANSWERED,
                            20_000 + number * 100);
                }
            }
            nowMillis += 50;
            healthByName = monitor.evaluate(nowMillis);
        }
    }

    private void complete(String server, String route, AttemptOutcome outcome, long latencyMicros) {
        monitor.record(CompletedAttempt.ofUnknownEntryProxy(server, route, outcome, latencyMicros), nowMillis);
    }

    private Set<String> ejected() {
        return healthByName.entrySet().stream()
                .filter(entry -> entry.getValue() == ServerHealth.EJECTED)
                .map(Map.Entry::getKey)
                .collect(Collectors.toSet());
    }
}
