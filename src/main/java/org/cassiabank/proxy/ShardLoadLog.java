package org.cassiabank.proxy;

import com.google.common.flogger.FluentLogger;
import java.util.Collection;
import java.util.Collections;
import java.util.Objects;
import org.cassiabank.admission.ShardLoad;
import org.cassiabank.health.ServerHealth;

/**
 * Logs what a shard's owner has in use, at most once a second and only while servers are kept out, requests are
 * refused, attempts fail or leases expire. Instances are not thread-safe.
 */
final class ShardLoadLog {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final long INTERVAL_MILLIS = 1_000;

    /** Servers in order answer a few requests with an error. */
    private static final double MAXIMUM_FAILED_SHARE = 0.1;

    private final ShardKey key;
    private long nextLineMillis;
    private long refusedRequests;
    private long completedAttempts;
    private long failedAttempts;
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

    /** Counts an attempt that has ended, and whether it is evidence against its server. */
    void recordAttempt(boolean failed) {
        completedAttempts++;
        failedAttempts += failed ? 1 : 0;
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
        boolean manyFailed = failedAttempts > MAXIMUM_FAILED_SHARE * completedAttempts;
        if (healthy == health.size() && refusedRequests == 0 && newExpiredLeases == 0 && !manyFailed) {
            completedAttempts = 0;
            failedAttempts = 0;
            return;
        }
        LOGGER.atInfo().log(
                "%s: servers=%d healthy=%d full=%d tests-only=%d backing-off=%d unused=%d ejected=%d probation=%d "
                        + "leaving=%d leased=%d usable-slots=%d queued=%d refused=%d completed=%d failed=%d "
                        + "expired-leases=%d",
                key,
                health.size(),
                healthy,
                load.fullServers(),
                load.limitedServers(),
                load.backingOffServers(),
                load.unusedServers(),
                Collections.frequency(health, ServerHealth.EJECTED),
                Collections.frequency(health, ServerHealth.PROBATION),
                leavingServers,
                load.leasedSlots(),
                load.usableSlots(),
                load.queuedRequests(),
                refusedRequests,
                completedAttempts,
                failedAttempts,
                newExpiredLeases);
        refusedRequests = 0;
        completedAttempts = 0;
        failedAttempts = 0;
        loggedExpiredLeases = load.expiredLeases();
    }
}
