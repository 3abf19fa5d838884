package org.cassiabank.proxy;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The servers to which this entry could not open a connection lately. The owner of a shard does not hold that against a
 * server, because the path from this entry alone may be cut.
 *
 * <p>Instances are thread-safe.
 */
final class ServerReach {
    private static final long FIRST_SKIP_MILLIS = 1_000;
    private static final long LONGEST_SKIP_MILLIS = 4_000;
    private static final long FORGET_MILLIS = 10_000;
    /** More servers than this cannot be named in each request for a slot; the rest is tried again. */
    private static final int MOST_SKIPPED = 8;

    private final Map<String, Skip> skips = new HashMap<>();

    private ServerReach() {}

    static ServerReach create() {
        return new ServerReach();
    }

    synchronized void recordFailure(String server, long nowMillis) {
        skips.values().removeIf(skip -> nowMillis >= skip.untilMillis() + FORGET_MILLIS);
        Skip last = skips.get(server);
        if (last == null) {
            skips.put(server, new Skip(FIRST_SKIP_MILLIS, nowMillis + FIRST_SKIP_MILLIS));
        } else if (nowMillis >= last.untilMillis()) {
            long length = Math.min(2 * last.lengthMillis(), LONGEST_SKIP_MILLIS);
            skips.put(server, new Skip(length, nowMillis + length));
        }
    }

    synchronized void recordSuccess(String server) {
        skips.remove(server);
    }

    /** Returns the servers that are not to be used now. */
    synchronized Set<String> skipped(long nowMillis) {
        if (skips.isEmpty()) {
            return Set.of();
        }
        return skips.entrySet().stream()
                .filter(entry -> nowMillis < entry.getValue().untilMillis())
                .map(Map.Entry::getKey)
                .limit(MOST_SKIPPED)
                .collect(Collectors.toUnmodifiableSet());
    }

    /**
     * The last time during which a server is not used.
     *
     * @param lengthMillis its length in milliseconds
     * @param untilMillis its end in milliseconds
     */
    private record Skip(long lengthMillis, long untilMillis) {}
}
