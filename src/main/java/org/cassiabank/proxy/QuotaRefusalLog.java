package org.cassiabank.proxy;

import com.google.common.flogger.FluentLogger;
import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.cassiabank.quota.QuotaRefusalCause;

/**
 * Writes one line about the requests that quotas refused, at most once a second, so that a lack of leases can be told
 * from used-up limits. Instances are thread-safe.
 */
final class QuotaRefusalLog {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final long INTERVAL_MILLIS = 1_000;

    private final Map<String, Integer> refusalsByCause = new TreeMap<>();
    private final Map<String, Integer> refusalsByCustomer = new HashMap<>();
    private long firstMillis;

    /** Records a refusal; the first one after the interval writes the line about the earlier ones. */
    synchronized void record(String customer, QuotaRefusalCause cause, long nowMillis) {
        if (!refusalsByCause.isEmpty() && nowMillis - firstMillis >= INTERVAL_MILLIS) {
            LOGGER.atInfo().log(
                    "quotas refused requests in the last %d ms: %s; most of them of %s",
                    nowMillis - firstMillis, refusalsByCause, mostRefused());
            refusalsByCause.clear();
            refusalsByCustomer.clear();
        }
        if (refusalsByCause.isEmpty()) {
            firstMillis = nowMillis;
        }
        refusalsByCause.merge(cause.label(), 1, Integer::sum);
        refusalsByCustomer.merge(customer, 1, Integer::sum);
    }

    private Map.Entry<String, Integer> mostRefused() {
        return Collections.max(refusalsByCustomer.entrySet(), Map.Entry.comparingByValue());
    }
}
