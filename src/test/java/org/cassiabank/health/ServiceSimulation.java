package org.cassiabank.health;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Simulates the servers of one shard under a judge that sees what an owner would see. */
final class ServiceSimulation {
    static final Behaviour SOUND = new Behaviour(0.01, 1, false);
    private static final int TICKS_PER_EVALUATION = 10;
    private static final long TIMEOUT_MICROS = 5_000_000;

    private final SplittableRandom random;
    private final int slots;
    private final double requestsPerSecond;
    private final boolean isPaced;
    private final Judge judge;
    private final Scenario scenario;
    private final List<List<Attempt>> inFlight;
    private final double[] nextArrivalMillis;
    private final Set<String> out = new HashSet<>();
    private final List<Ejection> ejections = new ArrayList<>();
    private Map<String, ServerHealth> verdicts = Map.of();
    private long badWork;
    private long samples;

    ServiceSimulation(long seed, int servers, int slots, double rate, boolean isPaced, Judge judge, Scenario scenario) {
        this.random = new SplittableRandom(seed);
        this.slots = slots;
        this.requestsPerSecond = rate;
        this.isPaced = isPaced;
        this.judge = judge;
        this.scenario = scenario;
        this.inFlight = IntStream.range(0, servers)
                .mapToObj(server -> (List<Attempt>) new ArrayList<Attempt>())
                .toList();
        this.nextArrivalMillis =
                IntStream.range(0, servers).mapToDouble(server -> gap(1)).toArray();
        judge.updateServers(scenario.servers(servers, 0), 0);
    }

    void run(long fromMillis, long untilMillis) {
        for (long now = fromMillis; now < untilMillis; now += scenario.tickMillis()) {
            if (scenario.advance(now)) {
                judge.updateServers(scenario.servers(inFlight.size(), now), now);
            }
            for (int server = 0; server < inFlight.size(); server++) {
                Behaviour behaviour = scenario.behaviour(server, now);
                finish(server, behaviour, now);
                start(server, behaviour, now);
            }
            if (now % (TICKS_PER_EVALUATION * scenario.tickMillis()) == 0) {
                evaluate(now);
            }
        }
    }

    Set<String> verdicts(ServerHealth health) {
        return verdicts.entrySet().stream()
                .filter(entry -> entry.getValue() == health)
                .map(Map.Entry::getKey)
                .collect(Collectors.toSet());
    }

    List<Ejection> ejections() {
        return ejections;
    }

    /** Returns how many attempts failed or were slowed down by a fault. */
    long badWork() {
        return badWork;
    }

    long samples() {
        return samples;
    }

    private void finish(int server, Behaviour behaviour, long now) {
        List<Attempt> attempts = inFlight.get(server);
        for (int index = attempts.size() - 1; index >= 0; index--) {
            Attempt attempt = attempts.get(index);
            boolean isBroken = now * 1_000 >= attempt.startMicros + TIMEOUT_MICROS;
            if (isBroken || now * 1_000 >= attempt.endMicros && !behaviour.hangs()) {
                attempts.remove(index);
                AttemptOutcome outcome = isBroken
                        ? AttemptOutcome.BROKEN
                        : attempt.isError ? AttemptOutcome.FAILED : AttemptOutcome.ANSWERED;
                long latency = now * 1_000 - attempt.startMicros;
                judge.record(new CompletedAttempt(attempt.server, attempt.route.name(), outcome, latency), now);
                samples++;
            }
        }
    }

    private void start(int server, Behaviour behaviour, long now) {
        List<Attempt> attempts = inFlight.get(server);
        while (nextArrivalMillis[server] <= now) {
            nextArrivalMillis[server] += gap(scenario.load());
            String name = scenario.name(server);
            ServerHealth health = verdicts.getOrDefault(name, ServerHealth.HEALTHY);
            int limit = health == ServerHealth.PROBATION ? 1 : slots;
            if (health == ServerHealth.EJECTED || attempts.size() >= limit) {
                continue;
            }
            Route route = scenario.route(random);
            // The scheduler grants long work at most half of the slots.
            if (route == Scenario.LONG && 2 * longAttempts(attempts) >= slots) {
                continue;
            }
            double micros = route.medianMicros() * Math.exp(route.sigma() * random.nextGaussian());
            boolean isError = random.nextDouble() < behaviour.errorRate();
            badWork += behaviour.hangs() || behaviour.slowdown() > 1 || isError ? 1 : 0;
            long start = now * 1_000;
            attempts.add(new Attempt(name, route, start, start + (long) (micros * behaviour.slowdown()), isError));
        }
    }

    private void evaluate(long now) {
        for (List<Attempt> attempts : inFlight) {
            for (Attempt attempt : attempts) {
                judge.observeInFlight(attempt.server, attempt.route.name(), now * 1_000 - attempt.startMicros, now);
            }
        }
        verdicts = judge.evaluate(now);
        verdicts.forEach((name, health) -> {
            if (health != ServerHealth.EJECTED) {
                out.remove(name);
            } else if (out.add(name)) {
                ejections.add(new Ejection(name, now));
            }
        });
    }

    private static int longAttempts(List<Attempt> attempts) {
        int count = 0;
        for (Attempt attempt : attempts) {
            count += attempt.route == Scenario.LONG ? 1 : 0;
        }
        return count;
    }

    private double gap(double load) {
        double mean = 1_000 / (requestsPerSecond * load);
        return isPaced ? mean * random.nextDouble(0.8, 1.2) : mean * random.nextExponential();
    }

    /** The rule under test. */
    interface Judge {
        void updateServers(List<MonitoredServer> servers, long now);

        void record(CompletedAttempt attempt, long now);

        void observeInFlight(String server, String route, long elapsedMicros, long now);

        Map<String, ServerHealth> evaluate(long now);
    }

    /** The sequential test. */
    record Monitor(HealthMonitor monitor, int floor) implements Judge {
        Monitor(int floor) {
            this(HealthMonitor.create(HealthSettings.defaults()), floor);
        }

        @Override
        public void updateServers(List<MonitoredServer> servers, long now) {
            monitor.replaceServers(servers, floor, now);
        }

        @Override
        public void record(CompletedAttempt attempt, long now) {
            monitor.record(attempt, now);
        }

        @Override
        public void observeInFlight(String server, String route, long elapsedMicros, long now) {
            monitor.recordInFlight(server, route, elapsedMicros, now);
        }

        @Override
        public Map<String, ServerHealth> evaluate(long now) {
            return monitor.evaluate(now);
        }
    }

    /** The usual simple rule: 5 consecutive failures eject a server for 30 s. */
    record ConsecutiveFailures(Map<String, Integer> failures, Map<String, Long> until) implements Judge {
        private static final int LIMIT = 5;
        private static final long EJECTION_MILLIS = 30_000;

        ConsecutiveFailures() {
            this(new HashMap<>(), new HashMap<>());
        }

        @Override
        public void updateServers(List<MonitoredServer> servers, long now) {}

        @Override
        public void record(CompletedAttempt attempt, long now) {
            boolean isError = attempt.outcome() == AttemptOutcome.FAILED || attempt.outcome() == AttemptOutcome.BROKEN;
            int count = failures.merge(attempt.server(), 1, (old, one) -> isError ? old + one : 0);
            if (isError && count >= LIMIT) {
                failures.put(attempt.server(), 0);
                until.put(attempt.server(), now + EJECTION_MILLIS);
            }
        }

        @Override
        public void observeInFlight(String server, String route, long elapsedMicros, long now) {}

        @Override
        public Map<String, ServerHealth> evaluate(long now) {
            until.values().removeIf(end -> end <= now);
            Map<String, ServerHealth> verdicts = new HashMap<>();
            failures.keySet()
                    .forEach(name ->
                            verdicts.put(name, until.containsKey(name) ? ServerHealth.EJECTED : ServerHealth.HEALTHY));
            return verdicts;
        }
    }

    /** What happens to the servers. */
    interface Scenario {
        List<String> NAMES =
                IntStream.range(0, 32).mapToObj(server -> "server-" + server).toList();
        Route LONG = new Route("ledger", 800_000, 0.5);
        List<Route> ROUTES = List.of(
                new Route("menu", 20_000, 0.5), new Route("notes", 60_000, 0.7), LONG, new Route("mixed", 10_000, 1.5));

        Behaviour behaviour(int server, long now);

        /** Goes on to the given time and tells whether the list of servers has changed. */
        default boolean advance(long now) {
            return false;
        }

        default long tickMillis() {
            return 5;
        }

        default double load() {
            return 1;
        }

        default String name(int server) {
            return NAMES.get(server);
        }

        default List<MonitoredServer> servers(int count, long now) {
            return IntStream.range(0, count)
                    .mapToObj(server -> new MonitoredServer(name(server), false, true))
                    .toList();
        }

        default Route route(SplittableRandom random) {
            double draw = random.nextDouble();
            return ROUTES.get(draw < 0.6 ? 0 : draw < 0.8 ? 1 : draw < 0.9 ? 2 : 3);
        }
    }

    /** A route with log-normally distributed times. */
    record Route(String name, double medianMicros, double sigma) {}

    /** How a server behaves at a moment. */
    record Behaviour(double errorRate, double slowdown, boolean hangs) {}

    /** The first evaluation that found a server ejected. */
    record Ejection(String server, long millis) {}

    /** A request that a server works on. */
    private record Attempt(String server, Route route, long startMicros, long endMicros, boolean isError) {}
}
