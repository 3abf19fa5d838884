package org.cassiabank.health;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;

/**
 * Guards against fewer servers in use than the floor and against servers that stay ejected although they answer, for
 * random orders of events.
 */
class HealthMonitorPropertiesTest {
    private static final List<String> NAMES = List.of("a", "b", "c", "d", "e", "f", "g", "h");
    private static final CompletedAttempt GOOD =
            CompletedAttempt.ofUnknownEntryProxy("a", "route", AttemptOutcome.ANSWERED, 10_000);

    @Property(tries = 100, seed = "20261204")
    void theFloorHoldsAfterEveryEvaluation(@ForAll("steps") List<Step> steps) {
        Shard shard = new Shard();
        for (Step step : steps) {
            shard.apply(step, 0);
            shard.assertFloorHolds();
        }
    }

    @Property(tries = 100, seed = "20261205")
    void orderWithinOneMillisecondDoesNotBreakTheFloor(@ForAll("steps") List<Step> steps, @ForAll long shuffleSeed) {
        Shard shard = new Shard();
        for (Step step : steps) {
            shard.apply(step, shuffleSeed);
            shard.assertFloorHolds();
        }
    }

    @Property(tries = 20, seed = "20261206")
    void everyServerBecomesHealthyOnceItAnswers(@ForAll("steps") List<Step> steps) {
        Shard shard = new Shard();
        steps.forEach(step -> shard.apply(step, 0));
        for (int round = 0; round < 3_300; round++) {
            shard.nowMillis += 100;
            shard.healthByName.forEach((name, health) -> {
                if (health != ServerHealth.EJECTED) {
                    shard.monitor.record(
                            CompletedAttempt.ofUnknownEntryProxy(
                                    name, GOOD.route(), GOOD.outcome(), GOOD.latencyMicros()),
                            shard.nowMillis);
                }
            });
            shard.healthByName = shard.monitor.evaluate(shard.nowMillis);
        }
        assertThat(shard.healthByName.values()).containsOnly(ServerHealth.HEALTHY);
    }

    @Provide
    Arbitrary<List<Step>> steps() {
        Arbitrary<Integer> server = Arbitraries.integers().between(0, NAMES.size() - 1);
        Arbitrary<Integer> count = Arbitraries.integers().between(1, 20);
        Arbitrary<Long> pause = Arbitraries.frequencyOf(
                Tuple.of(8, Arbitraries.longs().between(1, 200)),
                Tuple.of(1, Arbitraries.longs().between(1_000, 10_000)));
        Arbitrary<EventKind> kind = Arbitraries.of(EventKind.class);
        return Combinators.combine(kind, server, count, pause)
                .as(Step::new)
                .list()
                .ofMinSize(50)
                .ofMaxSize(400);
    }

    /** The kinds of events in a shard. */
    enum EventKind {
        FAIL,
        FAIL_AGAIN,
        BREAK,
        SLOW,
        HANG,
        ANSWER,
        CANCEL,
        CHANGE_LEAVING,
        CHANGE_WARM,
        REMOVE_OR_ADD,
        CHANGE_FLOOR
    }

    /** One event and the pause after it. */
    record Step(EventKind kind, int server, int count, long pauseMillis) {}

    /** A monitor with the servers and the floor that it was given. */
    private static final class Shard {
        private final HealthMonitor monitor = HealthMonitor.create(HealthSettings.defaults());
        private final Map<String, MonitoredServer> servers = new HashMap<>();
        private Map<String, ServerHealth> healthByName = Map.of();
        private int floor = 4;
        private long nowMillis = 1_000;

        private Shard() {
            NAMES.forEach(name -> servers.put(name, MonitoredServer.ofUnknownDomain(name, false, true)));
            updateServers();
        }

        private void apply(Step step, long shuffleSeed) {
            String name = NAMES.get(step.server());
            MonitoredServer previous = servers.getOrDefault(name, MonitoredServer.ofUnknownDomain(name, true, false));
            switch (step.kind()) {
                case FAIL, FAIL_AGAIN -> completeAttempts(step, AttemptOutcome.FAILED, 10_000, shuffleSeed);
                case BREAK -> completeAttempts(step, AttemptOutcome.BROKEN, 10_000, shuffleSeed);
                case SLOW -> completeAttempts(step, AttemptOutcome.ANSWERED, 900_000, shuffleSeed);
                case ANSWER -> completeAttempts(step, AttemptOutcome.ANSWERED, 10_000, shuffleSeed);
                case CANCEL -> completeAttempts(step, AttemptOutcome.CANCELLED, 900_000, shuffleSeed);
                case HANG -> {
                    for (int number = 0; number < step.count(); number++) {
                        monitor.recordInFlight(name, GOOD.route(), 900_000 + 5_000 * number, nowMillis);
                    }
                }
                case CHANGE_LEAVING ->
                    servers.put(name, MonitoredServer.ofUnknownDomain(name, !previous.leaving(), previous.warm()));
                case CHANGE_WARM ->
                    servers.put(name, MonitoredServer.ofUnknownDomain(name, previous.leaving(), !previous.warm()));
                case REMOVE_OR_ADD -> {
                    if (servers.remove(name) == null) {
                        servers.put(name, MonitoredServer.ofUnknownDomain(name, false, false));
                    }
                }
                case CHANGE_FLOOR -> floor = step.count() % (NAMES.size() + 1);
            }
            updateServers();
            healthByName = monitor.evaluate(nowMillis);
            nowMillis += step.pauseMillis();
        }

        /**
         * Completes attempts of all servers, 12 ms per round, with the given outcome and latency at the chosen server
         * and good responses at the others.
         */
        private void completeAttempts(Step step, AttemptOutcome outcome, long latencyMicros, long shuffleSeed) {
            for (int round = 0; round < step.count(); round++) {
                List<CompletedAttempt> attempts = new ArrayList<>();
                for (String name : NAMES) {
                    boolean isChosen = name.equals(NAMES.get(step.server()));
                    attempts.add(CompletedAttempt.ofUnknownEntryProxy(
                            name,
                            GOOD.route(),
                            isChosen ? outcome : AttemptOutcome.ANSWERED,
                            isChosen ? latencyMicros : 10_000));
                }
                if (shuffleSeed != 0) {
                    Collections.shuffle(attempts, new Random(shuffleSeed + round));
                }
                attempts.forEach(attempt -> monitor.record(attempt, nowMillis));
                nowMillis += 12;
            }
        }

        private void updateServers() {
            monitor.replaceServers(List.copyOf(servers.values()), floor, nowMillis);
        }

        private void assertFloorHolds() {
            long usableCount = servers.values().stream()
                    .filter(server -> server.warm() && !server.leaving())
                    .count();
            long healthyCount = servers.values().stream()
                    .filter(server -> server.warm() && !server.leaving())
                    .filter(server -> healthByName.get(server.name()) == ServerHealth.HEALTHY)
                    .count();
            assertThat(healthyCount).isGreaterThanOrEqualTo(Math.min(floor, usableCount));
        }
    }
}
