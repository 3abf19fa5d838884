package org.cassiabank.membership;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * Tracks names that failed and backs off from each for a time that grows exponentially.
 *
 * <p>A name is in backoff for a time after a failure. The time doubles with each failure after the end of a backoff, up
 * to a maximum; failures during a backoff, such as those of calls that were in flight, do not lengthen it. Instances
 * are not thread-safe. All times must come from one monotonic clock.
 */
public final class FailureBackoff {
    private final long firstBackoffMillis;
    private final long maximumBackoffMillis;
    private final long expiryMillis;
    private final Map<String, Backoff> backoffByName = new HashMap<>();

    private FailureBackoff(long firstBackoffMillis, long maximumBackoffMillis, long expiryMillis) {
        this.firstBackoffMillis = firstBackoffMillis;
        this.maximumBackoffMillis = maximumBackoffMillis;
        this.expiryMillis = expiryMillis;
    }

    /**
     * Creates a tracker without failures.
     *
     * @param firstBackoffMillis the length of the first backoff, in milliseconds, at least 1
     * @param maximumBackoffMillis the maximum length of a backoff, in milliseconds, at least the first length
     * @param expiryMillis the time after the end of a backoff after which the next failure starts with the first length
     *     again, in milliseconds, not negative
     * @return the tracker
     * @throws IllegalArgumentException if a length is out of its range
     */
    public static FailureBackoff create(long firstBackoffMillis, long maximumBackoffMillis, long expiryMillis) {
        if (firstBackoffMillis < 1 || maximumBackoffMillis < firstBackoffMillis || expiryMillis < 0) {
            throw new IllegalArgumentException("backoff lengths must be positive and in order: " + firstBackoffMillis
                    + ", " + maximumBackoffMillis + ", expiry after " + expiryMillis);
        }
        return new FailureBackoff(firstBackoffMillis, maximumBackoffMillis, expiryMillis);
    }

    /**
     * Records a failure, which begins a backoff unless the name is in one.
     *
     * @param name the name that failed
     * @param nowMillis the time in milliseconds
     */
    public void recordFailure(String name, long nowMillis) {
        Objects.requireNonNull(name, "name");
        backoffByName.values().removeIf(backoff -> nowMillis >= backoff.endMillis() + expiryMillis);
        Backoff previous = backoffByName.get(name);
        if (previous == null) {
            backoffByName.put(name, new Backoff(firstBackoffMillis, nowMillis + firstBackoffMillis));
        } else if (nowMillis >= previous.endMillis()) {
            long lengthMillis = Math.min(2 * previous.lengthMillis(), maximumBackoffMillis);
            backoffByName.put(name, new Backoff(lengthMillis, nowMillis + lengthMillis));
        }
    }

    /**
     * Records a success, which ends the backoff and clears earlier failures.
     *
     * @param name the name that succeeded
     */
    public void recordSuccess(String name) {
        backoffByName.remove(Objects.requireNonNull(name, "name"));
    }

    /**
     * Tells whether a name is in backoff.
     *
     * @param name the name
     * @param nowMillis the time in milliseconds
     * @return true during its backoff
     */
    public boolean isInBackoff(String name, long nowMillis) {
        Backoff backoff = backoffByName.get(Objects.requireNonNull(name, "name"));
        return backoff != null && nowMillis < backoff.endMillis();
    }

    /**
     * Returns all names that are in backoff.
     *
     * @param nowMillis the time in milliseconds
     * @return the names, in no particular order
     */
    public List<String> namesInBackoff(long nowMillis) {
        if (backoffByName.isEmpty()) {
            return List.of();
        }
        return backoffByName.keySet().stream()
                .filter(name -> isInBackoff(name, nowMillis))
                .toList();
    }

    /**
     * The latest backoff of a name.
     *
     * @param lengthMillis its length in milliseconds
     * @param endMillis its end in milliseconds
     */
    private record Backoff(long lengthMillis, long endMillis) {}
}
