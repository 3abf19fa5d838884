package org.cassiabank.admission;

import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.cassiabank.declaration.CostHint;

/**
 * An entry's request for one slot.
 *
 * @param entry the name of the entry instance
 * @param selector the name of the selector that took the request
 * @param route the name under which costs are learned
 * @param caller the identity between which slots are shared fairly
 * @param cost the declared cost
 * @param repeatable whether the request may run more than once
 * @param urgency the rank among requests that compete for slots; 0 is the most urgent
 * @param remainingMillis the time until the caller's deadline, in milliseconds
 * @param targetMillis the time in which the caller expects an answer, in milliseconds; 0 if none is stated
 * @param excluded the names of servers that must not be used, for example because an attempt failed there
 * @param servers the labels that a server must carry
 * @param hints what makes one server cheaper for the entry than another
 */
public record SlotAsk(
        String entry,
        String selector,
        String route,
        String caller,
        CostHint cost,
        boolean repeatable,
        int urgency,
        long remainingMillis,
        long targetMillis,
        Set<String> excluded,
        Map<String, String> servers,
        EntryHints hints) {

    /**
     * Checks and copies the components.
     */
    public SlotAsk {
        Objects.requireNonNull(entry, "entry");
        Objects.requireNonNull(selector, "selector");
        Objects.requireNonNull(route, "route");
        Objects.requireNonNull(caller, "caller");
        Objects.requireNonNull(cost, "cost");
        Objects.requireNonNull(hints, "hints");
        excluded = Set.copyOf(excluded);
        servers = Map.copyOf(servers);
    }

    /**
     * Creates the request for a first attempt of the highest urgency, without a target, by an entry to which all
     * servers are alike.
     *
     * @param entry the name of the entry instance
     * @param selector the name of the selector that took the request
     * @param route the name under which costs are learned
     * @param caller the identity between which slots are shared fairly
     * @param cost the declared cost
     * @param repeatable whether the request may run more than once
     * @param remainingMillis the time until the caller's deadline, in milliseconds
     * @param excluded the names of servers that must not be used
     * @param servers the labels that a server must carry
     * @return the request
     */
    public static SlotAsk first(
            String entry,
            String selector,
            String route,
            String caller,
            CostHint cost,
            boolean repeatable,
            long remainingMillis,
            Set<String> excluded,
            Map<String, String> servers) {
        return new SlotAsk(
                entry,
                selector,
                route,
                caller,
                cost,
                repeatable,
                0,
                remainingMillis,
                0,
                excluded,
                servers,
                EntryHints.none());
    }

    /**
     * Returns the same request with another urgency.
     *
     * @param rank the rank among requests that compete for slots; 0 is the most urgent
     * @return the request
     */
    public SlotAsk withUrgency(int rank) {
        return new SlotAsk(
                entry,
                selector,
                route,
                caller,
                cost,
                repeatable,
                rank,
                remainingMillis,
                targetMillis,
                excluded,
                servers,
                hints);
    }

    /**
     * Returns the same request with less time left.
     *
     * @param millis the time until the caller's deadline, in milliseconds
     * @return the request
     */
    public SlotAsk withRemaining(long millis) {
        return new SlotAsk(
                entry,
                selector,
                route,
                caller,
                cost,
                repeatable,
                urgency,
                millis,
                targetMillis,
                excluded,
                servers,
                hints);
    }
}
