package org.cassiabank.health;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * Compares each server with the other servers of the shard, separately for errors and for slowness.
 *
 * <p>Both tests take the usual rate of bad samples from the other servers' work on the same route, so that neither a
 * route that is long or fails everywhere nor a fault of the whole service speaks against a single server.
 */
final class OutlierDetector {
    private static final int ROUTE_LIMIT = 256;
    private static final double ERROR_PRIOR = 0.01;
    private static final double SLOW_PRIOR = 0.02;
    // Below this time, differences between servers are scheduling noise of the hosts.
    private static final double SLACK_MICROS = 2_000;
    private static final double STALL_TAIL_FACTOR = 2;
    private static final double BAD_RATIO = 1;
    // In the first second of a fault of the whole service the scores scatter by about twice their median.
    private static final double MEDIAN_FACTOR = 3;

    private final HealthSettings settings;
    private final RouteEvidence service = new RouteEvidence();
    private final Map<String, RouteEvidence> routes = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, RouteEvidence> eldest) {
            return size() > ROUTE_LIMIT;
        }
    };

    private final SampleCounts allErrors = new SampleCounts();
    private final SampleCounts allSlow = new SampleCounts();

    OutlierDetector(HealthSettings settings) {
        this.settings = settings;
    }

    /**
     * Creates the evidence of a server that nothing is known about.
     *
     * @param index the index of the server, unique among the present servers
     * @return the evidence
     */
    ServerEvidence createEvidence(int index) {
        return new ServerEvidence(index, settings, allErrors, allSlow);
    }

    /**
     * Weighs the end of an attempt.
     *
     * @param evidence the server's evidence
     * @param attempt the end of the attempt
     * @param scope what the attempt may count for
     * @param servers the number of servers of the shard
     * @param nowMillis the time in milliseconds
     * @return what the attempt says about the server
     */
    Judgement record(ServerEvidence evidence, CompletedAttempt attempt, Scope scope, int servers, long nowMillis) {
        AttemptOutcome outcome = attempt.outcome();
        if (outcome == AttemptOutcome.NOT_RUN) {
            return Judgement.NEUTRAL;
        }
        RouteEvidence route = routes.computeIfAbsent(attempt.route(), name -> new RouteEvidence());
        boolean isAnswer = outcome == AttemptOutcome.ANSWERED;
        boolean wasNoted = evidence.overdue().finish(startMicros(attempt.latencyMicros(), nowMillis));
        boolean isSlow = isOverdue(route, attempt.latencyMicros(), nowMillis);
        if (outcome == AttemptOutcome.CANCELLED && !isSlow) {
            return Judgement.NEUTRAL;
        }
        if (!(isSlow && wasNoted && isAnswer)) {
            evidence.weigh(!isAnswer && outcome != AttemptOutcome.CANCELLED, isSlow && scope.judgesSlowness());
        }
        double ratio = 0;
        if (outcome != AttemptOutcome.CANCELLED) {
            ratio = addError(evidence, route, !isAnswer, scope, servers, nowMillis);
        }
        if (isAnswer || outcome == AttemptOutcome.FAILED) {
            evidence.noteAnswer(nowMillis);
        }
        if (isSlow && wasNoted) {
            ratio = Math.max(ratio, scope.judgesSlowness() ? BAD_RATIO : 0);
        } else if (isSlow || isAnswer) {
            ratio = Math.max(ratio, addSlowness(evidence, route, isSlow, scope, servers, nowMillis));
        }
        if (isAnswer && scope.isReference()) {
            route.latencies().add(attempt.latencyMicros(), nowMillis);
        }
        if (ratio >= BAD_RATIO) {
            return Judgement.BAD;
        }
        return isAnswer && !isSlow ? Judgement.GOOD : Judgement.NEUTRAL;
    }

    /**
     * Weighs an attempt that has not ended yet.
     *
     * @param evidence the server's evidence
     * @param routeName the route
     * @param elapsedMicros the time since the attempt was sent, in microseconds
     * @param scope what the attempt may count for
     * @param servers the number of servers of the shard
     * @param nowMillis the time in milliseconds
     * @return {@link Judgement#BAD} when the attempt has become slow by a further factor, else NEUTRAL
     */
    Judgement observeInFlight(
            ServerEvidence evidence, String routeName, long elapsedMicros, Scope scope, int servers, long nowMillis) {
        RouteEvidence route = routes.get(routeName);
        if (route == null || !isOverdue(route, elapsedMicros, nowMillis)) {
            return Judgement.NEUTRAL;
        }
        double factor = elapsedMicros / route.latencies().usualMicros();
        int level = Math.max(1, (int) (Math.log(factor) / Math.log(settings.slowFactor())));
        boolean isStalled =
                elapsedMicros > STALL_TAIL_FACTOR * route.latencies().tailMicros();
        if (!evidence.overdue().note(startMicros(elapsedMicros, nowMillis), level, isStalled, nowMillis)) {
            return Judgement.NEUTRAL;
        }
        evidence.weigh(false, scope.judgesSlowness());
        double ratio = addSlowness(evidence, route, true, scope, servers, nowMillis);
        return ratio >= BAD_RATIO ? Judgement.BAD : Judgement.NEUTRAL;
    }

    /**
     * Counts one slow sample for a server that answers none of several overdue attempts.
     *
     * @param evidence the server's evidence
     * @param scope what the sample may count for
     * @param servers the number of servers of the shard
     * @param nowMillis the time in milliseconds
     */
    void checkSilence(ServerEvidence evidence, Scope scope, int servers, long nowMillis) {
        if (scope.judgesSlowness() && evidence.isSilent(nowMillis)) {
            addSlowness(evidence, service, true, scope, servers, nowMillis);
        }
    }

    /**
     * Finds the servers whose score exceeds the threshold of one of the tests and stands out from the scores of all.
     *
     * @param servers the servers to compare
     * @param nowMillis the time in milliseconds
     * @return for each server whether it is an outlier
     */
    boolean[] outliers(List<ServerEvidence> servers, long nowMillis) {
        boolean[] found = new boolean[servers.size()];
        mark(found, servers, ServerEvidence::errors, settings.errorThreshold(), nowMillis);
        mark(found, servers, ServerEvidence::slowness, settings.slownessThreshold(), nowMillis);
        return found;
    }

    /**
     * Removes a server's work from the rates that the others are compared with.
     *
     * @param server the index of the server
     */
    void forget(int server) {
        service.forget(server);
        routes.values().forEach(route -> route.forget(server));
    }

    private double addError(
            ServerEvidence evidence, RouteEvidence route, boolean isError, Scope scope, int servers, long nowMillis) {
        double usual = route.errors().without(evidence.index(), service.errors(), ERROR_PRIOR);
        if (scope.isReference()) {
            service.errors().add(evidence.index(), isError, servers, nowMillis);
            route.errors().add(evidence.index(), isError, servers, nowMillis);
        }
        return evidence.addError(isError, usual, nowMillis);
    }

    private double addSlowness(
            ServerEvidence evidence, RouteEvidence route, boolean isSlow, Scope scope, int servers, long nowMillis) {
        if (!scope.judgesSlowness()) {
            return 0;
        }
        double usual = route.slowness().without(evidence.index(), service.slowness(), SLOW_PRIOR);
        if (scope.isReference()) {
            service.slowness().add(evidence.index(), isSlow, servers, nowMillis);
            if (route != service) {
                route.slowness().add(evidence.index(), isSlow, servers, nowMillis);
            }
        }
        return evidence.addSlowness(isSlow, usual, nowMillis);
    }

    /**
     * Tells whether an attempt takes several times the usual time of its route.
     *
     * @param routeName the route
     * @param micros the time of the attempt in microseconds
     * @param nowMillis the time in milliseconds
     * @return false also while the usual time is not known
     */
    boolean isOverdue(String routeName, long micros, long nowMillis) {
        RouteEvidence route = routes.get(routeName);
        return route != null && isOverdue(route, micros, nowMillis);
    }

    private boolean isOverdue(RouteEvidence route, long micros, long nowMillis) {
        LatencyProfile latencies = route.latencies();
        if (!latencies.isKnown(nowMillis)) {
            return false;
        }
        double usual = latencies.usualMicros();
        return micros > Math.max(settings.slowFactor() * usual, usual + SLACK_MICROS);
    }

    private static void mark(
            boolean[] found,
            List<ServerEvidence> servers,
            Function<ServerEvidence, SequentialTest> kind,
            double threshold,
            long nowMillis) {
        List<SequentialTest> tests = servers.stream().map(kind).toList();
        double[] scores =
                tests.stream().mapToDouble(test -> test.score(nowMillis)).toArray();
        double[] sorted = scores.clone();
        Arrays.sort(sorted);
        // A fault of the whole service raises all scores before the usual rates have followed.
        double median = sorted.length == 0 ? 0 : sorted[(sorted.length - 1) / 2];
        for (int index = 0; index < scores.length; index++) {
            boolean standsOut = scores[index] - MEDIAN_FACTOR * median >= threshold;
            found[index] |= standsOut && tests.get(index).isConfirmed();
        }
    }

    private static long startMicros(long elapsedMicros, long nowMillis) {
        return nowMillis * 1_000 - elapsedMicros;
    }

    /**
     * What an attempt may count for.
     *
     * @param isReference whether it belongs to the work that other servers are compared with
     * @param judgesSlowness whether its duration is evidence
     */
    record Scope(boolean isReference, boolean judgesSlowness) {}
}
