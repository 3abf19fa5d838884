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

/** Guards the rules of ejection and readmission, each with the smallest shard that shows it. */
class HealthMonitorTest {
    private final HealthMonitor monitor = HealthMonitor.create(HealthSettings.defaults());
    private long now = 1_000;
    private Map<String, ServerHealth> verdicts = Map.of();

    @Test
    void worstServerGoesFirstAndReplacesOneThatIsLessBad() {
        update(8, 7);
        work(100, Map.of());
        work(60, Map.of("s1", 40));
        assertThat(ejected()).containsExactly("s1");
        work(60, Map.of("s2", 100));
        assertThat(ejected()).containsExactly("s2");
        assertThat(verdicts).containsEntry("s1", ServerHealth.HEALTHY);
    }

    @Test
    void departureReadmitsTheLeastBad() {
        update(8, 5);
        work(100, Map.of());
        work(60, Map.of("s1", 40, "s2", 100, "s3", 100));
        assertThat(ejected()).containsExactlyInAnyOrder("s1", "s2", "s3");
        update(7, 5);
        verdicts = monitor.evaluate(now);
        assertThat(ejected()).containsExactlyInAnyOrder("s2", "s3");
    }

    @Test
    void nothingIsEjectedWhenMoreThanHalfAreBad() {
        update(8, 0);
        work(100, Map.of());
        work(100, Map.of("s0", 50, "s1", 50, "s2", 50, "s3", 50, "s4", 50));
        assertThat(ejected()).isEmpty();
    }

    @Test
    void newOwnerOfAFailingServiceEjectsNobody() {
        update(8, 0);
        work(500, Map.of("s0", 50, "s1", 50, "s2", 50, "s3", 50, "s4", 50, "s5", 50, "s6", 50, "s7", 50));
        assertThat(ejected()).isEmpty();
    }

    @Test
    void workThatDidNotRunOrWasCancelledEarlyIsNoEvidence() {
        update(8, 0);
        work(100, Map.of());
        for (int round = 0; round < 200; round++) {
            end("s1", "menu", round % 2 == 0 ? AttemptOutcome.NOT_RUN : AttemptOutcome.CANCELLED, 20_000);
            work(1, Map.of());
        }
        assertThat(ejected()).isEmpty();
    }

    @Test
    void workThatWasCancelledLateCountsAsSlow() {
        update(8, 0);
        work(100, Map.of());
        for (int round = 0; round < 60; round++) {
            end("s1", "menu", AttemptOutcome.CANCELLED, 300_000 + 3_000 * round);
            work(1, Map.of());
        }
        assertThat(ejected()).containsExactly("s1");
    }

    @Test
    void longOrFailingRouteDoesNotSpeakAgainstItsServer() {
        update(8, 0);
        for (int round = 0; round < 300; round++) {
            work(1, Map.of());
            end(
                    round % 8 == 0 ? "s2" : "s1",
                    "ledger",
                    round % 3 == 0 ? AttemptOutcome.FAILED : AttemptOutcome.ANSWERED,
                    2_000_000);
        }
        assertThat(ejected()).isEmpty();
    }

    @Test
    void oneSilentConnectionIsNotAnOutlier() {
        update(8, 0);
        work(100, Map.of());
        long start = now;
        for (int round = 0; round < 100; round++) {
            monitor.recordInFlight("s1", "menu", (now - start) * 1_000, now);
            work(1, Map.of());
        }
        assertThat(ejected()).isEmpty();
    }

    @Test
    void holdOffDoublesWithEachEjectionUpToFiveMinutes() {
        update(8, 0);
        work(100, Map.of());
        work(10, Map.of("s1", 100));
        List<Long> holdOffs = new ArrayList<>();
        for (int ejection = 0; ejection < 10; ejection++) {
            long start = now;
            while (verdicts.get("s1") == ServerHealth.EJECTED) {
                now += 100;
                verdicts = monitor.evaluate(now);
            }
            holdOffs.add((now - start + 999) / 1_000);
            now += 100;
            end("s1", "menu", AttemptOutcome.FAILED, 20_000);
            now += 100;
            verdicts = monitor.evaluate(now);
            assertThat(ejected()).containsExactly("s1");
        }
        assertThat(holdOffs).containsExactly(1L, 2L, 4L, 8L, 16L, 32L, 64L, 128L, 256L, 300L);
    }

    @Test
    void goodBehaviourShortensTheNextHoldOff() {
        update(8, 0);
        work(100, Map.of());
        for (int ejection = 0; ejection < 3; ejection++) {
            work(40, Map.of("s1", 100));
            assertThat(ejected()).containsExactly("s1");
            work(200, Map.of());
            assertThat(ejected()).isEmpty();
        }
        for (int second = 0; second < 200; second++) {
            now += 1_000;
            work(1, Map.of());
        }
        work(40, Map.of("s1", 100));
        assertThat(ejected()).containsExactly("s1");
        now += 1_100;
        assertThat(monitor.evaluate(now)).containsEntry("s1", ServerHealth.PROBATION);
    }

    @Test
    void answerToAnAttemptFromBeforeTheEjectionDoesNotEndProbation() {
        update(8, 0);
        work(100, Map.of());
        work(20, Map.of("s1", 100));
        now += 1_000;
        verdicts = monitor.evaluate(now);
        for (int number = 0; number < 10; number++) {
            end("s1", "menu", AttemptOutcome.ANSWERED, 1_100_000);
        }
        assertThat(monitor.evaluate(now)).containsEntry("s1", ServerHealth.PROBATION);
    }

    @Test
    void unusableArgumentsAreRefused() {
        assertThatThrownBy(() -> monitor.replaceServers(List.of(), -1, 0)).isInstanceOf(IllegalArgumentException.class);
        MonitoredServer server = new MonitoredServer("a", false, true);
        assertThatThrownBy(() -> monitor.replaceServers(List.of(server, server), 0, 0))
                .isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> new CompletedAttempt("a", "b", AttemptOutcome.FAILED, -1))
                .isInstanceOf(IllegalArgumentException.class);
    }

    private void update(int servers, int floor) {
        monitor.replaceServers(
                IntStream.range(8 - servers, 8)
                        .mapToObj(number -> new MonitoredServer("s" + (7 - number), false, true))
                        .toList(),
                floor,
                now);
    }

    /** Lets every server that is not ejected end one request each 50 ms; some fail a share of theirs. */
    private void work(int rounds, Map<String, Integer> failingPercent) {
        for (int round = 0; round < rounds; round++) {
            for (int number = 0; number < 8; number++) {
                String name = "s" + number;
                // The multiplier spreads the failures of each server evenly and differently from the others'.
                boolean fails = (round * 37 + number * 13) % 100 < failingPercent.getOrDefault(name, 0);
                if (verdicts.get(name) != ServerHealth.EJECTED) {
                    end(name, "menu", fails ? AttemptOutcome.FAILED : AttemptOutcome.ANSWERED, 20_000 + number * 100);
                }
            }
            now += 50;
            verdicts = monitor.evaluate(now);
        }
    }

    private void end(String server, String route, AttemptOutcome outcome, long latencyMicros) {
        monitor.record(new CompletedAttempt(server, route, outcome, latencyMicros), now);
    }

    private Set<String> ejected() {
        return verdicts.entrySet().stream()
                .filter(entry -> entry.getValue() == ServerHealth.EJECTED)
                .map(Map.Entry::getKey)
                .collect(Collectors.toSet());
    }
}
