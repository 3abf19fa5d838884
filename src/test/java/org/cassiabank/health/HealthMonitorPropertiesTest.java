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

/** Guards against a floor that breaks and a server that never returns, whatever the order of events is. */
class HealthMonitorPropertiesTest {
    private static final List<String> NAMES = List.of("a", "b", "c", "d", "e", "f", "g", "h");
    private static final CompletedAttempt GOOD = new CompletedAttempt("a", "route", AttemptOutcome.ANSWERED, 10_000);

    @Property(tries = 100, seed = "20261204")
    void floorHoldsAfterEveryEvaluation(@ForAll("steps") List<Step> steps) {
        Shard shard = new Shard();
        for (Step step : steps) {
            shard.apply(step, 0);
            shard.assertFloor();
        }
    }

    @Property(tries = 100, seed = "20261205")
    void orderWithinOneMillisecondDoesNotBreakTheFloor(@ForAll("steps") List<Step> steps, @ForAll long order) {
        Shard shard = new Shard();
        for (Step step : steps) {
            shard.apply(step, order);
            shard.assertFloor();
        }
    }

    @Property(tries = 20, seed = "20261206")
    void everyServerReturnsOnceItWorks(@ForAll("steps") List<Step> steps) {
        Shard shard = new Shard();
        steps.forEach(step -> shard.apply(step, 0));
        for (int round = 0; round < 3_300; round++) {
            shard.now += 100;
            shard.verdicts.forEach((name, health) -> {
                if (health != ServerHealth.EJECTED) {
                    shard.monitor.record(
                            new CompletedAttempt(name, GOOD.route(), GOOD.outcome(), GOOD.latencyMicros()), shard.now);
                }
            });
            shard.verdicts = shard.monitor.evaluate(shard.now);
        }
        assertThat(shard.verdicts.values()).containsOnly(ServerHealth.HEALTHY);
    }

    @Provide
    Arbitrary<List<Step>> steps() {
        Arbitrary<Integer> server = Arbitraries.integers().between(0, NAMES.size() - 1);
        Arbitrary<Integer> count = Arbitraries.integers().between(1, 20);
        Arbitrary<Long> pause = Arbitraries.frequencyOf(
                Tuple.of(8, Arbitraries.longs().between(1, 200)),
                Tuple.of(1, Arbitraries.longs().between(1_000, 10_000)));
        Arbitrary<Kind> kind = Arbitraries.of(Kind.class);
        return Combinators.combine(kind, server, count, pause)
                .as(Step::new)
                .list()
                .ofMinSize(50)
                .ofMaxSize(400);
    }

    /** What can happen to a shard. */
    enum Kind {
        FAIL,
        FAIL_TOO,
        BREAK,
        SLOW,
        HANG,
        ANSWER,
        CANCEL,
        LEAVE,
        COOL,
        DEPART,
        FLOOR
    }

    /** One event, after which time goes on. */
    record Step(Kind kind, int server, int count, long pauseMillis) {}

    /** A monitor with what the test knows about its servers. */
    private static final class Shard {
        private final HealthMonitor monitor = HealthMonitor.create(HealthSettings.defaults());
        private final Map<String, MonitoredServer> servers = new HashMap<>();
        private Map<String, ServerHealth> verdicts = Map.of();
        private int floor = 4;
        private long now = 1_000;

        private Shard() {
            NAMES.forEach(name -> servers.put(name, new MonitoredServer(name, false, true)));
            update();
        }

        private void apply(Step step, long order) {
            String name = NAMES.get(step.server());
            MonitoredServer old = servers.getOrDefault(name, new MonitoredServer(name, true, false));
            switch (step.kind()) {
                case FAIL, FAIL_TOO -> work(step, AttemptOutcome.FAILED, 10_000, order);
                case BREAK -> work(step, AttemptOutcome.BROKEN, 10_000, order);
                case SLOW -> work(step, AttemptOutcome.ANSWERED, 900_000, order);
                case ANSWER -> work(step, AttemptOutcome.ANSWERED, 10_000, order);
                case CANCEL -> work(step, AttemptOutcome.CANCELLED, 900_000, order);
                case HANG -> {
                    for (int number = 0; number < step.count(); number++) {
                        monitor.recordInFlight(name, GOOD.route(), 900_000 + 5_000 * number, now);
                    }
                }
                case LEAVE -> servers.put(name, new MonitoredServer(name, !old.leaving(), old.warm()));
                case COOL -> servers.put(name, new MonitoredServer(name, old.leaving(), !old.warm()));
                case DEPART -> {
                    if (servers.remove(name) == null) {
                        servers.put(name, new MonitoredServer(name, false, false));
                    }
                }
                case FLOOR -> floor = step.count() % (NAMES.size() + 1);
            }
            update();
            verdicts = monitor.evaluate(now);
            now += step.pauseMillis();
        }

        /** Lets one server end its work in one way while the others answer, a few milliseconds per round. */
        private void work(Step step, AttemptOutcome outcome, long latencyMicros, long order) {
            for (int round = 0; round < step.count(); round++) {
                List<CompletedAttempt> attempts = new ArrayList<>();
                for (String name : NAMES) {
                    boolean isChosen = name.equals(NAMES.get(step.server()));
                    attempts.add(new CompletedAttempt(
                            name,
                            GOOD.route(),
                            isChosen ? outcome : AttemptOutcome.ANSWERED,
                            isChosen ? latencyMicros : 10_000));
                }
                if (order != 0) {
                    Collections.shuffle(attempts, new Random(order + round));
                }
                attempts.forEach(attempt -> monitor.record(attempt, now));
                now += 12;
            }
        }

        private void update() {
            monitor.replaceServers(List.copyOf(servers.values()), floor, now);
        }

        private void assertFloor() {
            long usable = servers.values().stream()
                    .filter(server -> server.warm() && !server.leaving())
                    .count();
            long kept = servers.values().stream()
                    .filter(server -> server.warm() && !server.leaving())
                    .filter(server -> verdicts.get(server.name()) == ServerHealth.HEALTHY)
                    .count();
            assertThat(kept).isGreaterThanOrEqualTo(Math.min(floor, usable));
        }
    }
}
