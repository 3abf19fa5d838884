package org.cassiabank.source;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.cassiabank.membership.Instance;

/**
 * Keeps instances whose entries ended while the store was away until they had time to come back.
 *
 * <p>An entry ends when its instance cannot renew it, which says nothing about the instance if the store itself was
 * away. Instances are not thread-safe. Times come from a clock that does not go back.
 */
final class LapseGuard {
    /** An instance that lives and reaches the store is back within this time after the store's return. */
    static final long RETURN_MILLIS = 2_000;

    /** Shorter failures of single calls end no entry: an entry ends after three missed reports, several seconds. */
    static final long OUTAGE_MILLIS = 1_000;

    private final Map<String, Instance> published = new HashMap<>();
    private Set<String> kept = Set.of();
    private long awaySinceMillis = Long.MAX_VALUE;
    private long graceUntilMillis = Long.MIN_VALUE;

    /** Notes a call that the store did not answer. */
    void noteFailure(long nowMillis) {
        awaySinceMillis = Math.min(awaySinceMillis, nowMillis);
    }

    /** Notes a call that the store answered. */
    void noteAnswer(long nowMillis) {
        if (awaySinceMillis != Long.MAX_VALUE && nowMillis - awaySinceMillis >= OUTAGE_MILLIS) {
            graceUntilMillis = nowMillis + RETURN_MILLIS;
        }
        awaySinceMillis = Long.MAX_VALUE;
    }

    /**
     * Adds the instances that are to be kept for now. An instance that was leaving is not kept.
     *
     * @param listed the instances that the store lists, by name
     * @param nowMillis the time in milliseconds
     * @return the instances to publish, by name
     */
    Map<String, Instance> complete(Map<String, Instance> listed, long nowMillis) {
        Objects.requireNonNull(listed, "listed");
        Map<String, Instance> result = new HashMap<>(listed);
        Set<String> nowKept = new HashSet<>();
        published.forEach((name, instance) -> {
            boolean mayReturn = nowMillis < graceUntilMillis;
            if (mayReturn && !listed.containsKey(name) && instance.isLive() && !isReplaced(instance, listed)) {
                result.put(name, instance);
                nowKept.add(name);
            }
        });
        published.clear();
        published.putAll(result);
        kept = Set.copyOf(nowKept);
        return Map.copyOf(result);
    }

    /** Returns how many instances are published although the store does not list them. */
    int keptCount() {
        return kept.size();
    }

    /** Returns when kept instances have to be judged again, or {@link Long#MAX_VALUE} if none is kept. */
    long nextReviewMillis() {
        return kept.isEmpty() ? Long.MAX_VALUE : graceUntilMillis;
    }

    private static boolean isReplaced(Instance instance, Map<String, Instance> listed) {
        return listed.values().stream().anyMatch(other -> other.address().equals(instance.address()));
    }
}
