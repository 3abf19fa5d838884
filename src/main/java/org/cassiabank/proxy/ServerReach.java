package org.cassiabank.proxy;

import java.util.Set;
import java.util.stream.Collectors;
import org.cassiabank.membership.FailureBackoff;

/**
 * The servers to which this entry proxy could not open a connection lately. The owner of a shard does not hold that
 * against a server, because the path from this entry proxy alone may be cut.
 *
 * <p>Instances are thread-safe.
 */
final class ServerReach {
    private static final long FIRST_SKIP_MILLIS = 1_000;
    private static final long LONGEST_SKIP_MILLIS = 4_000;
    private static final long FORGET_MILLIS = 10_000;
    /** More servers than this cannot be named in each request for a slot; the rest is tried again. */
    private static final int MOST_SKIPPED = 8;

    private final FailureBackoff backoff = FailureBackoff.create(FIRST_SKIP_MILLIS, LONGEST_SKIP_MILLIS, FORGET_MILLIS);

    private ServerReach() {}

    static ServerReach create() {
        return new ServerReach();
    }

    synchronized void recordFailure(String server, long nowMillis) {
        backoff.recordFailure(server, nowMillis);
    }

    synchronized void recordSuccess(String server) {
        backoff.recordSuccess(server);
    }

    /** Returns the servers that are not to be used now. */
    synchronized Set<String> skipped(long nowMillis) {
        return backoff.namesInBackoff(nowMillis).stream().limit(MOST_SKIPPED).collect(Collectors.toUnmodifiableSet());
    }
}
