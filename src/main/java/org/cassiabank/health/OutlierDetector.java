package org.cassiabank.health;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.function.Function;

/**
 * Compares each server with the other servers of the shard, separately for errors and for slowness.
 *
 * <p>Both tests take the baseline rate of bad samples from the other servers' attempts on the same route. A route that
 * is slow or fails at every server and a fault of the whole service are therefore no evidence against a single server.
 */
final class OutlierDetector {
    private static final int MAXIMUM_ROUTES = 256;
    private static final double PRIOR_ERROR_RATE = 0.01;
    private static final double PRIOR_SLOW_RATE = 0.02;
    // Smaller differences between servers are scheduling noise of the hosts.
    private static final double MINIMUM_EXCESS_MICROS = 2_000;
    private static final double STALLED_TAIL_FACTOR = 2;
    private static final double BAD_SAMPLE_LOG_RATIO = 1;
    // In the first second of a fault of the whole service the scores scatter by about twice their median.
    private static final double MEDIAN_SCORE_FACTOR = 3;

    private final HealthSettings settings;
    private final RouteEvidence serviceEvidence = new RouteEvidence();
    private final Map<String, RouteEvidence> evidenceByRoute = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, RouteEvidence> eldest) {
            return size() > MAXIMUM_ROUTES;
        }
    };

    private final SampleCounts shardErrorCounts = new SampleCounts();
    private final SampleCounts shardSlowCounts = new SampleCounts();

    OutlierDetector(HealthSettings settings) {
        this.settings = settings;
    }

    /**
     * Creates the evidence of a server without attempts.
     *
     * @param serverIndex the index of the server, unique among the present servers
     * @return the evidence
     */
    ServerEvidence createEvidence(int serverIndex) {
        return new ServerEvidence(serverIndex, settings, shardErrorCounts, shardSlowCounts);
    }

    /**
     * Records a completed attempt and classifies it.
     *
     * @param evidence the server's evidence
     * @param attempt the completed attempt
     * @param scope the tests and rates that the attempt counts for
     * @param serverCount the number of servers of the shard
     * @param nowMillis the time in milliseconds
     * @return the classification of the attempt as evidence about the server
     */
    AttemptClassification record(
            ServerEvidence evidence, CompletedAttempt attempt, EvidenceScope scope, int serverCount, long nowMillis) {
        AttemptOutcome outcome = attempt.outcome();
        if (outcome == AttemptOutcome.NOT_RUN) {
            return AttemptClassification.NEUTRAL;
        }
        RouteEvidence route = evidenceByRoute.computeIfAbsent(attempt.route(), name -> new RouteEvidence());
        boolean isResponse = outcome == AttemptOutcome.ANSWERED;
        boolean wasRecorded = evidence.overdueAttempts().remove(startMicros(attempt.latencyMicros(), nowMillis));
        boolean isSlow = isOverdue(route, attempt.latencyMicros(), nowMillis);
        if (outcome == AttemptOutcome.CANCELLED && !isSlow) {
            return AttemptClassification.NEUTRAL;
        }
        if (!(isSlow && wasRecorded && isResponse)) {
            evidence.updateSeverity(
                    !isResponse && outcome != AttemptOutcome.CANCELLED, isSlow && scope.countsSlowness());
        }
        double logRatio = 0;
        if (outcome != AttemptOutcome.CANCELLED) {
            logRatio = addErrorSample(evidence, route, !isResponse, scope, serverCount, nowMillis);
        }
        if (isResponse || outcome == AttemptOutcome.FAILED) {
            evidence.recordResponse(nowMillis);
        }
        if (isSlow && wasRecorded) {
            logRatio = Math.max(logRatio, scope.countsSlowness() ? BAD_SAMPLE_LOG_RATIO : 0);
        } else if (isSlow || isResponse) {
            logRatio = Math.max(logRatio, addSlownessSample(evidence, route, isSlow, scope, serverCount, nowMillis));
        }
        if (isResponse && scope.isBaseline()) {
            route.latencyProfile().add(attempt.latencyMicros(), nowMillis);
        }
        if (logRatio >= BAD_SAMPLE_LOG_RATIO) {
            return AttemptClassification.BAD;
        }
        return isResponse && !isSlow ? AttemptClassification.GOOD : AttemptClassification.NEUTRAL;
    }

    /**
     * Records an attempt in flight and classifies it.
     *
     * @param evidence the server's evidence
     * @param routeName the route
     * @param elapsedMicros the time since the attempt was sent, in microseconds
     * @param scope the tests and rates that the attempt counts for
     * @param serverCount the number of servers of the shard
     * @param nowMillis the time in milliseconds
     * @return {@link AttemptClassification#BAD} when the attempt has become slow by a further factor, else NEUTRAL
     */
    AttemptClassification recordInFlight(
            ServerEvidence evidence,
            String routeName,
            long elapsedMicros,
            EvidenceScope scope,
            int serverCount,
            long nowMillis) {
        RouteEvidence route = evidenceByRoute.get(routeName);
        if (route == null || !isOverdue(route, elapsedMicros, nowMillis)) {
            return AttemptClassification.NEUTRAL;
        }
        double slowdown = elapsedMicros / route.latencyProfile().typicalMicros();
        int slownessLevel = Math.max(1, (int) (Math.log(slowdown) / Math.log(settings.slowFactor())));
        boolean isStalled =
                elapsedMicros > STALLED_TAIL_FACTOR * route.latencyProfile().tailMicros();
        if (!evidence.overdueAttempts()
                .recordOverdue(startMicros(elapsedMicros, nowMillis), slownessLevel, isStalled, nowMillis)) {
            return AttemptClassification.NEUTRAL;
        }
        evidence.updateSeverity(false, scope.countsSlowness());
        double logRatio = addSlownessSample(evidence, route, true, scope, serverCount, nowMillis);
        return logRatio >= BAD_SAMPLE_LOG_RATIO ? AttemptClassification.BAD : AttemptClassification.NEUTRAL;
    }

    /**
     * Adds one slow sample for a server that answers none of several overdue attempts.
     *
     * @param evidence the server's evidence
     * @param scope the tests and rates that the sample counts for
     * @param serverCount the number of servers of the shard
     * @param nowMillis the time in milliseconds
     */
    void recordSilence(ServerEvidence evidence, EvidenceScope scope, int serverCount, long nowMillis) {
        if (scope.countsSlowness() && evidence.recordSilence(nowMillis)) {
            addSlownessSample(evidence, serviceEvidence, true, scope, serverCount, nowMillis);
        }
    }

    /**
     * Finds the servers whose score in one of the tests exceeds a multiple of the median score by at least the
     * threshold, if the comparison with the other servers in the same period confirms it.
     *
     * @param servers the servers to compare
     * @param nowMillis the time in milliseconds
     * @return for each server, in the order of the list, whether it is an outlier
     */
    boolean[] findOutliers(List<ServerEvidence> servers, long nowMillis) {
        boolean[] isOutlier = new boolean[servers.size()];
        markOutliers(isOutlier, servers, ServerEvidence::errorTest, settings.errorThreshold(), nowMillis);
        markOutliers(isOutlier, servers, ServerEvidence::slownessTest, settings.slownessThreshold(), nowMillis);
        return isOutlier;
    }

    /**
     * Removes a server's samples from the baseline rates that the other servers are compared with.
     *
     * @param serverIndex the index of the server
     */
    void removeServer(int serverIndex) {
        serviceEvidence.removeServer(serverIndex);
        evidenceByRoute.values().forEach(route -> route.removeServer(serverIndex));
    }

    private double addErrorSample(
            ServerEvidence evidence,
            RouteEvidence route,
            boolean isError,
            EvidenceScope scope,
            int serverCount,
            long nowMillis) {
        double baselineRate =
                route.errorRate().rateWithout(evidence.serverIndex(), serviceEvidence.errorRate(), PRIOR_ERROR_RATE);
        if (scope.isBaseline()) {
            serviceEvidence.errorRate().add(evidence.serverIndex(), isError, serverCount, nowMillis);
            route.errorRate().add(evidence.serverIndex(), isError, serverCount, nowMillis);
        }
        return evidence.addErrorSample(isError, baselineRate, nowMillis);
    }

    private double addSlownessSample(
            ServerEvidence evidence,
            RouteEvidence route,
            boolean isSlow,
            EvidenceScope scope,
            int serverCount,
            long nowMillis) {
        if (!scope.countsSlowness()) {
            return 0;
        }
        double baselineRate =
                route.slowRate().rateWithout(evidence.serverIndex(), serviceEvidence.slowRate(), PRIOR_SLOW_RATE);
        if (scope.isBaseline()) {
            serviceEvidence.slowRate().add(evidence.serverIndex(), isSlow, serverCount, nowMillis);
            if (route != serviceEvidence) {
                route.slowRate().add(evidence.serverIndex(), isSlow, serverCount, nowMillis);
            }
        }
        return evidence.addSlownessSample(isSlow, baselineRate, nowMillis);
    }

    /**
     * Tells whether an attempt takes more than the slow factor times the typical latency of its route, and more than
     * scheduling noise beyond it.
     *
     * @param routeName the route
     * @param elapsedMicros the time since the attempt was sent, in microseconds
     * @param nowMillis the time in milliseconds
     * @return true if the attempt is overdue; false also while the typical latency of the route is unknown
     */
    boolean isOverdue(String routeName, long elapsedMicros, long nowMillis) {
        RouteEvidence route = evidenceByRoute.get(routeName);
        return route != null && isOverdue(route, elapsedMicros, nowMillis);
    }

    /**
     * Returns the share of the responses of a route that take longer than a time.
     *
     * @param routeName the route
     * @param elapsedMicros the time in microseconds
     * @param nowMillis the time in milliseconds
     * @return the share, from 0 to 1; empty while the latencies of the route are unknown
     */
    OptionalDouble shareOfLongerResponses(String routeName, long elapsedMicros, long nowMillis) {
        RouteEvidence route = evidenceByRoute.get(routeName);
        return route == null || !route.latencyProfile().hasEstimate(nowMillis)
                ? OptionalDouble.empty()
                : OptionalDouble.of(route.latencyProfile().shareAbove(elapsedMicros));
    }

    private boolean isOverdue(RouteEvidence route, long elapsedMicros, long nowMillis) {
        LatencyProfile latencies = route.latencyProfile();
        if (!latencies.hasEstimate(nowMillis)) {
            return false;
        }
        double typicalMicros = latencies.typicalMicros();
        return elapsedMicros > Math.max(settings.slowFactor() * typicalMicros, typicalMicros + MINIMUM_EXCESS_MICROS);
    }

    private static void markOutliers(
            boolean[] isOutlier,
            List<ServerEvidence> servers,
            Function<ServerEvidence, SequentialTest> testOf,
            double scoreThreshold,
            long nowMillis) {
        List<SequentialTest> tests = servers.stream().map(testOf).toList();
        double[] scores =
                tests.stream().mapToDouble(test -> test.score(nowMillis)).toArray();
        double[] sortedScores = scores.clone();
        Arrays.sort(sortedScores);
        // A fault of the whole service raises all scores before the baseline rates have adapted.
        double medianScore = sortedScores.length == 0 ? 0 : sortedScores[(sortedScores.length - 1) / 2];
        for (int index = 0; index < scores.length; index++) {
            boolean exceedsThreshold = scores[index] - MEDIAN_SCORE_FACTOR * medianScore >= scoreThreshold;
            isOutlier[index] |= exceedsThreshold && tests.get(index).isConfirmed();
        }
    }

    private static long startMicros(long elapsedMicros, long nowMillis) {
        return nowMillis * 1_000 - elapsedMicros;
    }

    /**
     * The tests and rates that a server's attempts count for.
     *
     * @param isBaseline whether they count for the baseline rates that other servers are compared with
     * @param countsSlowness whether their latency is evidence of slowness
     */
    record EvidenceScope(boolean isBaseline, boolean countsSlowness) {}
}
