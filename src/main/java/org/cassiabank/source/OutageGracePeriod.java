package org.cassiabank.source;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.cassiabank.membership.Instance;

/**
 * Retains instances whose entries expired during an outage of the store until they have had time to register again.
 *
 * <p>An entry expires when its instance cannot renew it. After an outage of the store an expired entry is therefore no
 * evidence that its instance has failed. Instances of this class are not thread-safe. Times come from a monotonic
 * clock.
 */
final class OutageGracePeriod {
    /** A live instance that can reach the store registers again within this time after the end of an outage. */
    static final long GRACE_MILLIS = 2_000;

    /** Shorter failures expire no entry: an entry expires after three missed reports, which takes several seconds. */
    static final long MINIMUM_OUTAGE_MILLIS = 1_000;

    private final Map<String, Instance> publishedByName = new HashMap<>();
    private Set<String> retainedNames = Set.of();
    private long unavailableSinceMillis = Long.MAX_VALUE;
    private long graceEndMillis = Long.MIN_VALUE;

    /** Records a call that failed because the store was unavailable. */
    void recordFailure(long nowMillis) {
        unavailableSinceMillis = Math.min(unavailableSinceMillis, nowMillis);
    }

    /** Records a successful call, which starts the grace period if it ends an outage. */
    void recordResponse(long nowMillis) {
        if (unavailableSinceMillis != Long.MAX_VALUE && nowMillis - unavailableSinceMillis >= MINIMUM_OUTAGE_MILLIS) {
            graceEndMillis = nowMillis + GRACE_MILLIS;
        }
        unavailableSinceMillis = Long.MAX_VALUE;
    }

    /** Starts the grace period because the store has come back from an older copy, which may lack live instances. */
    void recordRestoration(long nowMillis) {
        graceEndMillis = Math.max(graceEndMillis, nowMillis + GRACE_MILLIS);
    }

    /**
     * Starts the grace period of an outage that a peer has noticed.
     *
     * @param remainingMillis the time that is left of it, in milliseconds, 0 if there was no outage
     * @param nowMillis the current time in milliseconds
     */
    void retainFor(long remainingMillis, long nowMillis) {
        if (remainingMillis > 0) {
            graceEndMillis = Math.max(graceEndMillis, nowMillis + Math.min(remainingMillis, GRACE_MILLIS));
        }
    }

    /** Returns the time in milliseconds when the latest grace period ends or ended. */
    long graceEndMillis() {
        return graceEndMillis;
    }

    /**
     * Adds instances that were published before and have no entry now, while the grace period lasts. An instance that
     * was leaving, or whose address belongs to a listed instance now, is not retained.
     *
     * @param listed the instances that have an entry in the store, by name
     * @param nowMillis the current time in milliseconds
     * @return the instances to publish, by name
     */
    Map<String, Instance> addRetained(Map<String, Instance> listed, long nowMillis) {
        Objects.requireNonNull(listed, "listed");
        Map<String, Instance> result = new HashMap<>(listed);
        Set<String> newlyRetainedNames = new HashSet<>();
        publishedByName.forEach((name, instance) -> {
            boolean inGracePeriod = nowMillis < graceEndMillis;
            if (inGracePeriod && !listed.containsKey(name) && instance.isLive() && !isAddressReused(instance, listed)) {
                result.put(name, instance);
                newlyRetainedNames.add(name);
            }
        });
        publishedByName.clear();
        publishedByName.putAll(result);
        retainedNames = Set.copyOf(newlyRetainedNames);
        return Map.copyOf(result);
    }

    /** Returns the number of published instances that have no entry in the store. */
    int retainedCount() {
        return retainedNames.size();
    }

    /** Returns the time in milliseconds when the grace period ends, {@link Long#MAX_VALUE} if nothing is retained. */
    long nextEvaluationMillis() {
        return retainedNames.isEmpty() ? Long.MAX_VALUE : graceEndMillis;
    }

    private static boolean isAddressReused(Instance instance, Map<String, Instance> listed) {
        return listed.values().stream().anyMatch(other -> other.address().equals(instance.address()));
    }
}
