package org.cassiabank.proxy;

import java.util.HashSet;
import java.util.Random;
import java.util.Set;

/** A caller's request in a simulation; times are in virtual milliseconds. */
final class SimulatedCall {
    private static final double TAIL_SHARE = 0.03;
    private static final double TAIL_FACTOR = 7;
    private static final double MAXIMUM_SERVICE_MEANS = 11;

    final String entry;
    final String route;
    final boolean repeatable;
    final double arrivedAtMillis;
    final double deadlineMillis;
    final double serviceMillis;
    final Set<String> excludedServers = new HashSet<>();
    boolean answered;
    boolean failed;

    SimulatedCall(
            String entry,
            String route,
            boolean repeatable,
            double arrivedAtMillis,
            double deadlineMillis,
            double serviceMillis) {
        this.entry = entry;
        this.route = route;
        this.repeatable = repeatable;
        this.arrivedAtMillis = arrivedAtMillis;
        this.deadlineMillis = deadlineMillis;
        this.serviceMillis = serviceMillis;
    }

    /** Draws a service time that is log-normal and in a few cases far longer. */
    static double longTailedMillis(double meanMillis, double logStandardDeviation, Random random) {
        double medianMillis = meanMillis * Math.exp(-logStandardDeviation * logStandardDeviation / 2);
        return Math.min(
                MAXIMUM_SERVICE_MEANS * meanMillis,
                medianMillis
                        * Math.exp(logStandardDeviation * random.nextGaussian())
                        * (random.nextDouble() < TAIL_SHARE ? TAIL_FACTOR : 1));
    }
}
