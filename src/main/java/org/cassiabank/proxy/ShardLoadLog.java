package org.cassiabank.proxy;

import com.google.common.flogger.FluentLogger;
import java.util.Collection;
import java.util.Collections;
import java.util.Objects;
import org.cassiabank.admission.ShardLoad;
import org.cassiabank.health.ServerHealth;

/**
 * Logs what a shard's owner has in use, at most once a second and only while servers are kept out, requests are refused
 * or leases expire. Instances are not thread-safe.
 */
final class ShardLoadLog {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final long INTERVAL_MILLIS = 1_000;

    private final ShardKey key;
    private long nextLineMillis;
    private long refusedRequests;
    private long loggedExpiredLeases;

    private ShardLoadLog(ShardKey key) {
        this.key = key;
    }

    static ShardLoadLog create(ShardKey key) {
        return new ShardLoadLog(Objects.requireNonNull(key, "key"));
    }

    void recordRefusal() {
        refusedRequests++;
    }

    boolean isDue(long nowMillis) {
        return nowMillis >= nextLineMillis;
    }

    /**
     * Writes a line if anything is out of the ordinary.
     *
     * @param health the health of each server
     * @param leavingServers how many of the servers are leaving
     * @param load the load of the servers
     * @param nowMillis the time in milliseconds
     */
    void report(Collection<ServerHealth> health, int leavingServers, ShardLoad load, long nowMillis) {
        nextLineMillis = nowMillis + INTERVAL_MILLIS;
        long newExpiredLeases = load.expiredLeases() - loggedExpiredLeases;
        int healthy = Collections.frequency(health, ServerHealth.HEALTHY);
        if (healthy == health.size() && refusedRequests == 0 && newExpiredLeases == 0) {
            return;
        }
        LOGGER.atInfo().log(
                "%s: servers=%d healthy=%d full=%d ejected=%d probation=%d leaving=%d leased=%d "
                        + "usable-slots=%d queued=%d refused=%d expired-leases=%d",
                key,
                health.size(),
                healthy,
                load.fullServers(),
                Collections.frequency(health, ServerHealth.EJECTED),
                Collections.frequency(health, ServerHealth.PROBATION),
                leavingServers,
                load.leasedSlots(),
                load.usableSlots(),
                load.queuedRequests(),
                refusedRequests,
                newExpiredLeases);
        refusedRequests = 0;
        loggedExpiredLeases = load.expiredLeases();
    }
}
