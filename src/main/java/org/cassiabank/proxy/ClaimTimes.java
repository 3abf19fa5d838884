package org.cassiabank.proxy;

import org.cassiabank.once.ProxyListHistory;

/**
 * The time bounds that the rules for claims depend on.
 */
final class ClaimTimes {
    /** The longest time that a change of the instance list takes to reach every proxy of a region. */
    static final long LIST_PROPAGATION_MILLIS = 3_000;

    /** The longest time that a handover of claims to the new keepers takes. */
    static final long HANDOVER_MILLIS = 2_000;

    private ClaimTimes() {}

    static ProxyListHistory newProxyListHistory() {
        return ProxyListHistory.create(LIST_PROPAGATION_MILLIS, HANDOVER_MILLIS);
    }
}
