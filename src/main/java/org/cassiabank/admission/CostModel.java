package org.cassiabank.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.SequencedMap;
import org.cassiabank.declaration.CostHint;

/**
 * Learns what the routes of a service cost and which of them are long.
 *
 * <p>A route is long when its mean exceeds 8 times the mean of the service's short routes. A route without a response
 * counts as long as soon as another route is learned, because a wrong guess in the other direction lets long requests
 * occupy all slots until the first of them ends.
 */
final class CostModel {
    private static final double LONG_FACTOR = 8;
    /** A long route becomes short below this factor; the gap prevents changes at each variation of the mean. */
    private static final double SHORT_AGAIN_FACTOR = 6;
    /** A few very cheap requests, for example pings, must not turn all other work into long work. */
    private static final double SMALLEST_SHORT_SHARE = 0.05;

    private static final double INITIAL_MICROS = 10_000;
    private static final int CLASSIFY_INTERVAL = 32;
    private static final double DECAY = 0.9;
    private static final int MAX_ROUTES = 1024;

    private final SequencedMap<String, RouteCost> routes = new LinkedHashMap<>(64, 0.75f, true);
    private double shortMeanMicros = INITIAL_MICROS;
    private int learned;
    private int sinceClassification;

    RouteCost route(String name) {
        RouteCost cost = routes.get(name);
        if (cost == null) {
            if (routes.size() >= MAX_ROUTES) {
                routes.pollFirstEntry();
            }
            cost = new RouteCost();
            cost.setLong(learned > 0);
            routes.put(name, cost);
        }
        return cost;
    }

    boolean isLong(CostHint hint, RouteCost route) {
        return switch (hint) {
            case SHORT -> false;
            case LONG -> true;
            case LEARNED -> route.isLong();
        };
    }

    double costMicros(CostHint hint, RouteCost route) {
        if (route.isLearned()) {
            return Math.max(1, route.meanMicros());
        }
        return hint == CostHint.LONG ? LONG_FACTOR * shortMeanMicros : shortMeanMicros;
    }

    double shortMeanMicros() {
        return shortMeanMicros;
    }

    /**
     * Learns from a response.
     *
     * @return true if the class of a route may have changed
     */
    boolean learn(RouteCost route, double micros) {
        boolean first = !route.isLearned();
        if (first) {
            // What was assumed before the first response must not count as a verdict.
            route.setLong(false);
        }
        route.learn(micros);
        learned++;
        sinceClassification++;
        if (first || sinceClassification >= Math.max(CLASSIFY_INTERVAL, routes.size() / 4)) {
            sinceClassification = 0;
            return classify() || first;
        }
        return false;
    }

    private boolean classify() {
        List<RouteCost> ordered = new ArrayList<>();
        double total = 0;
        for (RouteCost route : routes.values()) {
            if (route.isLearned()) {
                ordered.add(route);
                route.decay(DECAY);
                total += route.recentAnswers();
            }
        }
        ordered.sort(Comparator.comparingDouble(RouteCost::meanMicros));
        double weight = 0;
        double work = 0;
        boolean changed = false;
        boolean longFromHere = false;
        for (RouteCost route : ordered) {
            double factor = route.isLong() ? SHORT_AGAIN_FACTOR : LONG_FACTOR;
            longFromHere |= weight > total * SMALLEST_SHORT_SHARE && route.meanMicros() * weight > factor * work;
            if (!longFromHere) {
                weight += route.recentAnswers();
                work += route.recentAnswers() * route.meanMicros();
            }
            changed |= route.isLong() != longFromHere;
            route.setLong(longFromHere);
        }
        shortMeanMicros = weight > 0 ? Math.max(1, work / weight) : shortMeanMicros;
        for (RouteCost route : routes.values()) {
            if (!route.isLearned() && !route.isLong()) {
                route.setLong(true);
                changed = true;
            }
        }
        return changed;
    }
}
