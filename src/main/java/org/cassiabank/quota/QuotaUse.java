package org.cassiabank.quota;

import java.util.Objects;

/**
 * What a participant reports of one customer. Totals count from the start of the participant's process, so that a lost
 * message loses no use.
 *
 * @param customer the customer
 * @param leaseNumber the number of the latest lease of this coordinator that the participant applied, 0 for none
 * @param total the requests charged
 * @param usedInWindow the requests charged in the last window
 * @param holdsLease whether the participant has an unexpired lease, of whichever coordinator
 * @param refused the requests refused since the last report
 * @param fallbackShare the part of the limit that the participant is entitled to without a coordinator
 * @param ended whether the participant gives up its lease and its entitlement
 */
public record QuotaUse(
        String customer,
        long leaseNumber,
        long total,
        long usedInWindow,
        boolean holdsLease,
        long refused,
        double fallbackShare,
        boolean ended) {

    /**
     * Checks the customer.
     *
     * @throws NullPointerException if the customer is null
     */
    public QuotaUse {
        Objects.requireNonNull(customer, "customer");
    }
}
