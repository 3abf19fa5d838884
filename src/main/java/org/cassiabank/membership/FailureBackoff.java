package org.cassiabank.membership;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * The times during which something that failed is left out.
 *
 * <p>A name is skipped for a time after a failure. The time doubles with each failure that follows a skip, up to a
 * limit; what was already under way when the skip began does not lengthen it. Instances are not thread-safe. Times have
 * to come from one clock that does not go back.
 */
public final class FailureBackoff {
    private final long firstMillis;
    private final long longestMillis;
    private final long forgetMillis;
    private final Map<String, Skip> skips = new HashMap<>();

    private FailureBackoff(long firstMillis, long longestMillis, long forgetMillis) {
        this.firstMillis = firstMillis;
        this.longestMillis = longestMillis;
        this.forgetMillis = forgetMillis;
    }

    /**
     * Creates times without failures.
     *
     * @param firstMillis the length of the first skip, in milliseconds
     * @param longestMillis the limit of its length, in milliseconds
     * @param forgetMillis the time after a skip from which on it is forgotten, in milliseconds
     * @return the times
     * @throws IllegalArgumentException if the lengths are not positive and in order
     */
    public static FailureBackoff create(long firstMillis, long longestMillis, long forgetMillis) {
        if (firstMillis < 1 || longestMillis < firstMillis || forgetMillis < 0) {
            throw new IllegalArgumentException("skips must be positive and in order: " + firstMillis + ", "
                    + longestMillis + ", forgotten after " + forgetMillis);
        }
        return new FailureBackoff(firstMillis, longestMillis, forgetMillis);
    }

    /**
     * Notes a failure.
     *
     * @param name what failed
     * @param nowMillis the time in milliseconds
     */
    public void recordFailure(String name, long nowMillis) {
        Objects.requireNonNull(name, "name");
        skips.values().removeIf(skip -> nowMillis >= skip.untilMillis() + forgetMillis);
        Skip last = skips.get(name);
        if (last == null) {
            skips.put(name, new Skip(firstMillis, nowMillis + firstMillis));
        } else if (nowMillis >= last.untilMillis()) {
            long length = Math.min(2 * last.lengthMillis(), longestMillis);
            skips.put(name, new Skip(length, nowMillis + length));
        }
    }

    /**
     * Notes a success, which ends the skip and lets earlier failures be forgotten.
     *
     * @param name what succeeded
     */
    public void recordSuccess(String name) {
        skips.remove(Objects.requireNonNull(name, "name"));
    }

    /**
     * Tells whether a name is skipped.
     *
     * @param name the name
     * @param nowMillis the time in milliseconds
     * @return true during its skip
     */
    public boolean isSkipped(String name, long nowMillis) {
        Skip skip = skips.get(Objects.requireNonNull(name, "name"));
        return skip != null && nowMillis < skip.untilMillis();
    }

    /**
     * Returns all names that are skipped.
     *
     * @param nowMillis the time in milliseconds
     * @return the names, in no particular order
     */
    public List<String> namesInBackoff(long nowMillis) {
        if (skips.isEmpty()) {
            return List.of();
        }
        return skips.keySet().stream()
                .filter(name -> isSkipped(name, nowMillis))
                .toList();
    }

    /**
     * The last skip of a name.
     *
     * @param lengthMillis its length in milliseconds
     * @param untilMillis its end in milliseconds
     */
    private record Skip(long lengthMillis, long untilMillis) {}
}
