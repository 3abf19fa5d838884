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

/** Simulates the servers of one shard with an ejection rule that observes the same events as the owner of a shard. */
final class ServiceSimulation {
    static final Behaviour HEALTHY_BEHAVIOUR = new Behaviour(0.01, 1, false);
    private static final int TICKS_PER_EVALUATION = 10;
    private static final long TIMEOUT_MICROS = 5_000_000;

    private final SplittableRandom random;
    private final int slots;
    private final double requestsPerSecond;
    private final boolean hasRegularArrivals;
    private final EjectionRule rule;
    private final Scenario scenario;
    private final List<List<Attempt>> inFlight;
    private final double[] nextArrivalMillis;
    private final Set<String> ejectedServers = new HashSet<>();
    private final List<Ejection> ejections = new ArrayList<>();
    private Map<String, ServerHealth> healthByName = Map.of();
    private long affectedAttempts;
    private long completedAttempts;

    ServiceSimulation(
            long seed,
            int serverCount,
            int slots,
            double requestsPerSecond,
            boolean hasRegularArrivals,
            EjectionRule rule,
            Scenario scenario) {
        this.random = new SplittableRandom(seed);
        this.slots = slots;
        this.requestsPerSecond = requestsPerSecond;
        this.hasRegularArrivals = hasRegularArrivals;
        this.rule = rule;
        this.scenario = scenario;
        this.inFlight = IntStream.range(0, serverCount)
                .mapToObj(server -> (List<Attempt>) new ArrayList<Attempt>())
                .toList();
        this.nextArrivalMillis = IntStream.range(0, serverCount)
                .mapToDouble(server -> nextGapMillis(1))
                .toArray();
        rule.updateServers(scenario.servers(serverCount, 0), 0);
    }

    void run(long fromMillis, long untilMillis) {
        for (long nowMillis = fromMillis; nowMillis < untilMillis; nowMillis += scenario.tickMillis()) {
            if (scenario.advance(nowMillis)) {
                rule.updateServers(scenario.servers(inFlight.size(), nowMillis), nowMillis);
            }
            for (int server = 0; server < inFlight.size(); server++) {
                Behaviour behaviour = scenario.behaviour(server, nowMillis);
                completeAttempts(server, behaviour, nowMillis);
                startAttempts(server, behaviour, nowMillis);
            }
            if (nowMillis % (TICKS_PER_EVALUATION * scenario.tickMillis()) == 0) {
                evaluate(nowMillis);
            }
        }
    }

    Set<String> serversWithHealth(ServerHealth health) {
        return healthByName.entrySet().stream()
                .filter(entry -> entry.getValue() == health)
                .map(Map.Entry::getKey)
                .collect(Collectors.toSet());
    }

    List<Ejection> ejections() {
        return ejections;
    }

    /** Returns the number of attempts that failed, hung or were slowed down. */
    long affectedAttempts() {
        return affectedAttempts;
    }

    long completedAttempts() {
        return completedAttempts;
    }

    private void completeAttempts(int server, Behaviour behaviour, long nowMillis) {
        List<Attempt> attempts = inFlight.get(server);
        for (int index = attempts.size() - 1; index >= 0; index--) {
            Attempt attempt = attempts.get(index);
            boolean isBroken = nowMillis * 1_000 >= attempt.startMicros + TIMEOUT_MICROS;
            if (isBroken || nowMillis * 1_000 >= attempt.endMicros && !behaviour.hangs()) {
                attempts.remove(index);
                AttemptOutcome outcome = isBroken
                        ? AttemptOutcome.BROKEN
                        : attempt.isError ? AttemptOutcome.FAILED : AttemptOutcome.ANSWERED;
                long latencyMicros = nowMillis * 1_000 - attempt.startMicros;
                rule.record(
                        CompletedAttempt.ofUnknownEntryProxy(
                                attempt.server, attempt.route.name(), outcome, latencyMicros),
                        nowMillis);
                completedAttempts++;
            }
        }
    }

    private void startAttempts(int server, Behaviour behaviour, long nowMillis) {
        List<Attempt> attempts = inFlight.get(server);
        while (nextArrivalMillis[server] <= nowMillis) {
            nextArrivalMillis[server] += nextGapMillis(scenario.loadFactor());
            String name = scenario.name(server);
            ServerHealth health = healthByName.getOrDefault(name, ServerHealth.HEALTHY);
            int maximumAttempts = health == ServerHealth.PROBATION ? 1 : slots;
            if (health == ServerHealth.EJECTED || attempts.size() >= maximumAttempts) {
                continue;
            }
            Route route = scenario.route(random);
            // The scheduler grants long work at most half of the slots.
            if (route == Scenario.LONG && 2 * countLongAttempts(attempts) >= slots) {
                continue;
            }
            double serviceMicros =
                    route.medianMicros() * Math.exp(route.logStandardDeviation() * random.nextGaussian());
            boolean isError = random.nextDouble() < behaviour.errorRate();
            affectedAttempts += behaviour.hangs() || behaviour.slowdown() > 1 || isError ? 1 : 0;
            long startMicros = nowMillis * 1_000;
            attempts.add(new Attempt(
                    name, route, startMicros, startMicros + (long) (serviceMicros * behaviour.slowdown()), isError));
        }
    }

    private void evaluate(long nowMillis) {
        for (List<Attempt> attempts : inFlight) {
            for (Attempt attempt : attempts) {
                rule.recordInFlight(
                        attempt.server, attempt.route.name(), nowMillis * 1_000 - attempt.startMicros, nowMillis);
            }
        }
        healthByName = rule.evaluate(nowMillis);
        healthByName.forEach((name, health) -> {
            if (health != ServerHealth.EJECTED) {
                ejectedServers.remove(name);
            } else if (ejectedServers.add(name)) {
                ejections.add(new Ejection(name, nowMillis));
            }
        });
    }

    private static int countLongAttempts(List<Attempt> attempts) {
        int count = 0;
        for (Attempt attempt : attempts) {
            count += attempt.route == Scenario.LONG ? 1 : 0;
        }
        return count;
    }

    private double nextGapMillis(double loadFactor) {
        double meanMillis = 1_000 / (requestsPerSecond * loadFactor);
        return hasRegularArrivals ? meanMillis * random.nextDouble(0.8, 1.2) : meanMillis * random.nextExponential();
    }

    /** An ejection rule under test. */
    interface EjectionRule {
        void updateServers(List<MonitoredServer> servers, long nowMillis);

        void record(CompletedAttempt attempt, long nowMillis);

        void recordInFlight(String server, String route, long elapsedMicros, long nowMillis);

        Map<String, ServerHealth> evaluate(long nowMillis);
    }

    /** The health monitor with default settings and the given floor. */
    record MonitorRule(HealthMonitor monitor, int floor) implements EjectionRule {
        MonitorRule(int floor) {
            this(HealthMonitor.create(HealthSettings.defaults()), floor);
        }

        @Override
        public void updateServers(List<MonitoredServer> servers, long nowMillis) {
            monitor.replaceServers(servers, floor, nowMillis);
        }

        @Override
        public void record(CompletedAttempt attempt, long nowMillis) {
            monitor.record(attempt, nowMillis);
        }

        @Override
        public void recordInFlight(String server, String route, long elapsedMicros, long nowMillis) {
            monitor.recordInFlight(server, route, elapsedMicros, nowMillis);
        }

        @Override
        public Map<String, ServerHealth> evaluate(long nowMillis) {
            return monitor.evaluate(nowMillis);
        }
    }

    /** The common rule for comparison: 5 consecutive failures eject a server for 30 s. */
    record ConsecutiveFailureRule(Map<String, Integer> consecutiveFailures, Map<String, Long> ejectedUntilMillis)
            implements EjectionRule {
        private static final int MAXIMUM_FAILURES = 5;
        private static final long EJECTION_MILLIS = 30_000;

        ConsecutiveFailureRule() {
            this(new HashMap<>(), new HashMap<>());
        }

        @Override
        public void updateServers(List<MonitoredServer> servers, long nowMillis) {}

        @Override
        public void record(CompletedAttempt attempt, long nowMillis) {
            boolean isError = attempt.outcome() == AttemptOutcome.FAILED || attempt.outcome() == AttemptOutcome.BROKEN;
            int count = consecutiveFailures.merge(attempt.server(), 1, (previous, one) -> isError ? previous + one : 0);
            if (isError && count >= MAXIMUM_FAILURES) {
                consecutiveFailures.put(attempt.server(), 0);
                ejectedUntilMillis.put(attempt.server(), nowMillis + EJECTION_MILLIS);
            }
        }

        @Override
        public void recordInFlight(String server, String route, long elapsedMicros, long nowMillis) {}

        @Override
        public Map<String, ServerHealth> evaluate(long nowMillis) {
            ejectedUntilMillis.values().removeIf(end -> end <= nowMillis);
            Map<String, ServerHealth> healthByName = new HashMap<>();
            consecutiveFailures
                    .keySet()
                    .forEach(name -> healthByName.put(
                            name, ejectedUntilMillis.containsKey(name) ? ServerHealth.EJECTED : ServerHealth.HEALTHY));
            return healthByName;
        }
    }

    /** The servers, routes, load and faults of a simulated service. */
    interface Scenario {
        List<String> NAMES =
                IntStream.range(0, 32).mapToObj(server -> "server-" + server).toList();
        Route LONG = new Route("ledger", 800_000, 0.5);
        List<Route> ROUTES = List.of(
                new Route("menu", 20_000, 0.5), new Route("notes", 60_000, 0.7), LONG, new Route("mixed", 10_000, 1.5));

        Behaviour behaviour(int server, long nowMillis);

        /** Advances to the given time and tells whether the list of servers has changed. */
        default boolean advance(long nowMillis) {
            return false;
        }

        default long tickMillis() {
            return 5;
        }

        default double loadFactor() {
            return 1;
        }

        default String name(int server) {
            return NAMES.get(server);
        }

        default List<MonitoredServer> servers(int count, long nowMillis) {
            return IntStream.range(0, count)
                    .mapToObj(server -> MonitoredServer.ofUnknownDomain(name(server), false, true))
                    .toList();
        }

        default Route route(SplittableRandom random) {
            double fraction = random.nextDouble();
            return ROUTES.get(fraction < 0.6 ? 0 : fraction < 0.8 ? 1 : fraction < 0.9 ? 2 : 3);
        }
    }

    /** A route with log-normally distributed service times. */
    record Route(String name, double medianMicros, double logStandardDeviation) {}

    /** The behaviour of a server at one time. */
    record Behaviour(double errorRate, double slowdown, boolean hangs) {}

    /** An ejection of a server, at the time of the first evaluation that reported it. */
    record Ejection(String server, long ejectedMillis) {}

    /** An attempt in flight at a server. */
    private record Attempt(String server, Route route, long startMicros, long endMicros, boolean isError) {}
}
