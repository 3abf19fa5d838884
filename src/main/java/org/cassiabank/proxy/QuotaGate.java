package org.cassiabank.proxy;

import org.cassiabank.quota.QuotaDecision;
import org.cassiabank.quota.QuotaGranted;

/**
 * Decides whether the requests of customers are within their limits.
 */
interface QuotaGate {

    /** Charges a request of a customer that is about to be queued. */
    QuotaDecision tryAcquire(String customer);

    /** Takes back the charge of a request that was refused without having run. */
    void release(String customer);

    /** Returns a gate that limits nothing. */
    static QuotaGate unlimited() {
        return new QuotaGate() {
            @Override
            public QuotaDecision tryAcquire(String customer) {
                return new QuotaGranted(false);
            }

            @Override
            public void release(String customer) {}
        };
    }
}
