package org.cassiabank.proxy;

import java.util.HashSet;
import java.util.Set;

/** A caller's request in a simulation; times are in virtual milliseconds. */
final class SimulatedCall {
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
}
