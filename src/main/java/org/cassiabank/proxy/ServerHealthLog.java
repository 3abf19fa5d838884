package org.cassiabank.proxy;

import com.google.common.flogger.FluentLogger;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.cassiabank.health.AttemptOutcome;
import org.cassiabank.health.HealthMonitor;
import org.cassiabank.health.ServerHealth;

/**
 * Logs and counts the changes of the health of a shard's servers, each with the latest attempt that counted against the
 * server, and what the servers say about themselves. Instances are not thread-safe.
 */
final class ServerHealthLog {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int LOG_INTERVAL_SECONDS = 1;

    private final ShardKey key;
    private final ProxyMetrics metrics;
    /** The outcome and the entry proxy of the latest failed attempt. */
    private final Map<String, String> latestFailureByServer = new HashMap<>();

    private ServerHealthLog(ShardKey key, ProxyMetrics metrics) {
        this.key = key;
        this.metrics = metrics;
    }

    static ServerHealthLog create(ShardKey key, ProxyMetrics metrics) {
        return new ServerHealthLog(Objects.requireNonNull(key, "key"), Objects.requireNonNull(metrics, "metrics"));
    }

    void recordFailure(String serverName, AttemptOutcome outcome, String entryProxy) {
        latestFailureByServer.put(serverName, outcome + " at " + entryProxy);
    }

    void recordSuspectTest(boolean repeatable, AttemptOutcome outcome) {
        metrics.recordSuspectTest(repeatable, outcome);
    }

    /** Logs the requests a second that a server accepts, empty if it names no limit any longer. */
    void reportRateLimit(String serverName, OptionalDouble limit) {
        if (limit.isPresent()) {
            LOGGER.atInfo().log("%s: server %s accepts %s requests a second", key, serverName, limit.getAsDouble());
        } else {
            LOGGER.atInfo().log("%s: server %s names no limit of requests any longer", key, serverName);
        }
    }

    /** Logs that broken connections do not count against their servers. */
    void recordSimultaneousBreaks(Set<String> servers) {
        LOGGER.atInfo().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
                "%s: connections to several servers broke at one moment, which does not count against %s",
                key, servers);
    }

    /**
     * Logs the servers whose health has changed.
     *
     * @param formerHealthByServer the health until now
     * @param newHealthByServer the health from now on
     * @param monitor knows why a server is not healthy
     */
    void report(
            Map<String, ServerHealth> formerHealthByServer,
            Map<String, ServerHealth> newHealthByServer,
            HealthMonitor monitor) {
        latestFailureByServer.keySet().retainAll(newHealthByServer.keySet());
        newHealthByServer.forEach((serverName, newHealth) -> {
            ServerHealth formerHealth = formerHealthByServer.getOrDefault(serverName, ServerHealth.HEALTHY);
            if (formerHealth != newHealth) {
                LOGGER.atInfo().log(
                        "%s: server %s is %s, was %s; cause: %s; latest failure: %s",
                        key,
                        serverName,
                        newHealth,
                        formerHealth,
                        monitor.exclusionCause(serverName).map(Enum::name).orElse("none"),
                        latestFailureByServer.getOrDefault(serverName, "none"));
                if (newHealth == ServerHealth.EJECTED) {
                    metrics.recordEjection(key.service());
                }
            }
        });
    }
}
