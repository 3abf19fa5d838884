package org.cassiabank.admission;

import org.cassiabank.declaration.Configuration;
import org.cassiabank.declaration.RequestLimits;
import org.cassiabank.declaration.Selector;

/**
 * Decides for which services the rules of fair admission are in force.
 *
 * <p>They answer the load of customers, urgencies and short targets that compete for too few slots. Where callers have
 * neither, first come, first served is as good, and nothing changes.
 */
public final class FairAdmissionScope {
    /** A service whose callers expect an answer in less than this cannot let them queue in order of arrival. */
    private static final long SHORT_TARGET_MILLIS = 2_000;

    private FairAdmissionScope() {}

    /**
     * Tells whether the rules are in force for a service.
     *
     * @param configuration the configuration in force
     * @param service the name of the service
     * @param enabled the setting {@code fair-admission}
     * @return true if the configuration holds a customer, or if the setting is on and the selectors of the service have
     *     different urgencies or a target below 2 s
     */
    public static boolean isInForce(Configuration configuration, String service, boolean enabled) {
        if (!configuration.customers().isEmpty()) {
            return true;
        }
        if (!enabled) {
            return false;
        }
        int firstRank = -1;
        for (Selector selector : configuration.selectors()) {
            if (selector.service().equals(service)) {
                RequestLimits limits = selector.limits();
                boolean shortTarget =
                        limits.targetLatencyMillis() > 0 && limits.targetLatencyMillis() < SHORT_TARGET_MILLIS;
                if (shortTarget || firstRank >= 0 && firstRank != limits.urgencyRank()) {
                    return true;
                }
                firstRank = limits.urgencyRank();
            }
        }
        return false;
    }
}
