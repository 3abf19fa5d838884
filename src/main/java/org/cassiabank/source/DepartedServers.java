package org.cassiabank.source;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.function.Predicate;
import org.cassiabank.membership.Instance;
import org.cassiabank.membership.InstanceRole;
import org.cassiabank.membership.InstanceState;

/**
 * Keeps backend servers that were leaving or had left from being used again because the store came back from an older
 * copy, which still lists them as live.
 *
 * <p>A live server writes its entry again, and the entry of one that is gone expires. Until then an entry that may come
 * from the copy does not outweigh what this daemon knew before. Instances of this class are not thread-safe. Times come
 * from a monotonic clock.
 */
final class DepartedServers {
    /** An entry expires after three missed reports, which takes less than this time. */
    static final long DISTRUST_MILLIS = 6_000;

    /** Longer than the age of a copy; departures before it are not remembered. */
    static final long MEMORY_MILLIS = 120_000;

    private final Map<String, Departure> departuresByName = new HashMap<>();
    private Map<String, Instance> publishedByName = Map.of();
    private long distrustEndMillis = Long.MIN_VALUE;
    private boolean corrected;

    /** Records that the store has come back from an older copy. */
    void recordRestoration(long nowMillis) {
        distrustEndMillis = nowMillis + DISTRUST_MILLIS;
    }

    /**
     * Corrects the entries of servers that are known to be leaving or gone.
     *
     * @param listed the instances that have an entry in the store, by name
     * @param mayComeFromCopy tells of the name of a server whether its entry may be older than the restoration
     * @param nowMillis the current time in milliseconds
     * @return the instances without servers that had left, and with those that were leaving still as leaving
     */
    Map<String, Instance> correct(Map<String, Instance> listed, Predicate<String> mayComeFromCopy, long nowMillis) {
        Objects.requireNonNull(listed, "listed");
        corrected = false;
        if (nowMillis >= distrustEndMillis) {
            return listed;
        }
        Map<String, Instance> result = new HashMap<>(listed);
        departuresByName.forEach((name, departure) -> {
            Instance instance = listed.get(name);
            if (instance != null
                    && instance.isLive()
                    && instance.incarnation() == departure.incarnation()
                    && mayComeFromCopy.test(name)) {
                corrected = true;
                if (departure.gone()) {
                    result.remove(name);
                } else {
                    result.put(name, instance.withState(InstanceState.LEAVING));
                }
            }
        });
        return result;
    }

    /**
     * Records which servers are leaving or gone according to the list that is in force now.
     *
     * @param published all instances in force, by name
     * @param nowMillis the current time in milliseconds
     */
    void recordPublished(Map<String, Instance> published, long nowMillis) {
        publishedByName.forEach((name, instance) -> {
            if (instance.role() == InstanceRole.BACKEND && !published.containsKey(name)) {
                departuresByName.put(name, new Departure(instance.incarnation(), true, nowMillis));
            }
        });
        published.forEach((name, instance) -> {
            if (instance.isLive()) {
                departuresByName.remove(name);
            } else if (instance.role() == InstanceRole.BACKEND) {
                departuresByName.put(name, new Departure(instance.incarnation(), false, nowMillis));
            }
        });
        departuresByName.values().removeIf(departure -> nowMillis - departure.atMillis() > MEMORY_MILLIS);
        publishedByName = published;
    }

    /** Returns the time in milliseconds when corrected entries count again, {@link Long#MAX_VALUE} without any. */
    long nextEvaluationMillis() {
        return corrected ? distrustEndMillis : Long.MAX_VALUE;
    }

    /**
     * What was known last of a server that does not accept work.
     *
     * @param incarnation the start of the server to which this applies
     * @param gone true if it had no entry, false if it was leaving
     * @param atMillis the time at which this was known
     */
    private record Departure(long incarnation, boolean gone, long atMillis) {}
}
