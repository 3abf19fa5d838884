package org.cassiabank.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.SequencedMap;
import org.cassiabank.declaration.CostHint;

/**
 * Estimates the service times of the routes of a service and classifies the routes as short or long.
 *
 * <p>A route is long when its mean exceeds 8 times the mean of the service's short routes. A route without a response
 * counts as long as soon as another route has one, because treating a long route as short lets its requests occupy all
 * slots until the first of them ends.
 */
final class CostModel {
    private static final double LONG_FACTOR = 8;
    /** A long route becomes short at or below this factor; the gap prevents changes at each variation of the mean. */
    private static final double SHORT_AGAIN_FACTOR = 6;

    /**
     * Routes are short until they make up more than this share of the recent responses. A few very cheap requests, for
     * example pings, must not turn all other work into long work.
     */
    private static final double MINIMUM_SHORT_SHARE = 0.05;

    /** The mean cost of short work before the first response. */
    private static final double INITIAL_SHORT_MEAN_MICROS = 10_000;

    private static final int CLASSIFICATION_INTERVAL_RESPONSES = 32;
    private static final double RECENT_RESPONSES_DECAY_FACTOR = 0.9;
    /** Beyond this number the least recently used route is removed. */
    private static final int MAXIMUM_ROUTES = 1024;

    private final SequencedMap<String, RouteCost> routeCostsByName = new LinkedHashMap<>(64, 0.75f, true);
    private double shortMeanMicros = INITIAL_SHORT_MEAN_MICROS;
    private int recordedResponses;
    private int responsesSinceClassification;

    RouteCost routeCost(String routeName) {
        RouteCost routeCost = routeCostsByName.get(routeName);
        if (routeCost == null) {
            if (routeCostsByName.size() >= MAXIMUM_ROUTES) {
                routeCostsByName.pollFirstEntry();
            }
            routeCost = new RouteCost();
            routeCost.setLongWork(recordedResponses > 0);
            routeCostsByName.put(routeName, routeCost);
        }
        return routeCost;
    }

    boolean isLongWork(CostHint hint, RouteCost routeCost) {
        return switch (hint) {
            case SHORT -> false;
            case LONG -> true;
            case LEARNED -> routeCost.isLongWork();
        };
    }

    double costMicros(CostHint hint, RouteCost routeCost) {
        if (routeCost.hasResponses()) {
            return Math.max(1, routeCost.meanMicros());
        }
        return hint == CostHint.LONG ? LONG_FACTOR * shortMeanMicros : shortMeanMicros;
    }

    double shortMeanMicros() {
        return shortMeanMicros;
    }

    /**
     * Records the service time of a complete response, in microseconds.
     *
     * @return true if the cost class of a route may have changed
     */
    boolean recordResponse(RouteCost routeCost, double serviceMicros) {
        boolean isFirstResponse = !routeCost.hasResponses();
        if (isFirstResponse) {
            // The class assumed before the first response must not count as a classification.
            routeCost.setLongWork(false);
        }
        routeCost.recordServiceTime(serviceMicros);
        recordedResponses++;
        responsesSinceClassification++;
        if (isFirstResponse
                || responsesSinceClassification
                        >= Math.max(CLASSIFICATION_INTERVAL_RESPONSES, routeCostsByName.size() / 4)) {
            responsesSinceClassification = 0;
            return classify() || isFirstResponse;
        }
        return false;
    }

    private boolean classify() {
        List<RouteCost> routesByMean = new ArrayList<>();
        double totalResponses = 0;
        for (RouteCost routeCost : routeCostsByName.values()) {
            if (routeCost.hasResponses()) {
                routesByMean.add(routeCost);
                routeCost.decayRecentResponses(RECENT_RESPONSES_DECAY_FACTOR);
                totalResponses += routeCost.recentResponses();
            }
        }
        routesByMean.sort(Comparator.comparingDouble(RouteCost::meanMicros));
        double shortResponses = 0;
        double shortWorkMicros = 0;
        boolean changed = false;
        boolean reachedLongRoutes = false;
        for (RouteCost routeCost : routesByMean) {
            double thresholdFactor = routeCost.isLongWork() ? SHORT_AGAIN_FACTOR : LONG_FACTOR;
            reachedLongRoutes |= shortResponses > totalResponses * MINIMUM_SHORT_SHARE
                    && routeCost.meanMicros() * shortResponses > thresholdFactor * shortWorkMicros;
            if (!reachedLongRoutes) {
                shortResponses += routeCost.recentResponses();
                shortWorkMicros += routeCost.recentResponses() * routeCost.meanMicros();
            }
            changed |= routeCost.isLongWork() != reachedLongRoutes;
            routeCost.setLongWork(reachedLongRoutes);
        }
        shortMeanMicros = shortResponses > 0 ? Math.max(1, shortWorkMicros / shortResponses) : shortMeanMicros;
        for (RouteCost routeCost : routeCostsByName.values()) {
            if (!routeCost.hasResponses() && !routeCost.isLongWork()) {
                routeCost.setLongWork(true);
                changed = true;
            }
        }
        return changed;
    }
}
