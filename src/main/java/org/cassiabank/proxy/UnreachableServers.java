package org.cassiabank.proxy;

import java.util.Set;
import java.util.stream.Collectors;
import org.cassiabank.backend.BackendResult;
import org.cassiabank.backend.Cancelled;
import org.cassiabank.backend.NoValidResponse;
import org.cassiabank.backend.NoValidResponseReason;
import org.cassiabank.backend.NotSent;
import org.cassiabank.backend.RequestShed;
import org.cassiabank.backend.ResponseReceived;
import org.cassiabank.membership.FailureBackoff;

/**
 * Tracks the backend servers that this entry proxy recently failed to reach, and excludes them for a time that grows
 * with repeated failures. The owner of a shard does not count a connection that could not be opened against a
 * server, because only the network path from this entry proxy may be interrupted.
 *
 * <p>Instances are thread-safe.
 */
final class UnreachableServers {
    private static final long FIRST_BACKOFF_MILLIS = 1_000;
    private static final long MAXIMUM_BACKOFF_MILLIS = 4_000;
    private static final long FAILURE_EXPIRY_MILLIS = 10_000;

    /** A request for a slot cannot list more unreachable servers than this; the others remain eligible. */
    private static final int MAXIMUM_EXCLUDED_SERVERS = 8;

    private final FailureBackoff backoff =
            FailureBackoff.create(FIRST_BACKOFF_MILLIS, MAXIMUM_BACKOFF_MILLIS, FAILURE_EXPIRY_MILLIS);

    private UnreachableServers() {}

    static UnreachableServers create() {
        return new UnreachableServers();
    }

    /**
     * Tells whether the result of an attempt shows that the server may be out of reach.
     *
     * @param result the result
     * @param hasOpenedConnection whether the attempt opened a connection to the server
     * @return true for an attempt that could not be sent, or that got no response in time on a connection that was open
     *     before and may be interrupted; a server that accepts a connection and is slow is within reach
     */
    static boolean isEvidence(BackendResult result, boolean hasOpenedConnection) {
        return switch (result) {
            case NotSent notSent -> true;
            case NoValidResponse noValidResponse ->
                noValidResponse.reason() == NoValidResponseReason.TIMEOUT && !hasOpenedConnection;
            case ResponseReceived response -> false;
            case RequestShed shed -> false;
            case Cancelled cancelled -> false;
        };
    }

    synchronized void recordFailure(String serverName, long nowMillis) {
        backoff.recordFailure(serverName, nowMillis);
    }

    synchronized void recordSuccess(String serverName) {
        backoff.recordSuccess(serverName);
    }

    /** Returns the names of the servers that are excluded at a time on the monotonic clock, 8 at most. */
    synchronized Set<String> serversInBackoff(long nowMillis) {
        return backoff.namesInBackoff(nowMillis).stream()
                .limit(MAXIMUM_EXCLUDED_SERVERS)
                .collect(Collectors.toUnmodifiableSet());
    }
}
