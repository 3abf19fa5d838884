package org.cassiabank.quota;

import java.util.Objects;

/**
 * What a coordinator grants to a participant for one customer.
 *
 * @param customer the customer
 * @param number increases with each lease of the coordinator's process
 * @param ceiling the total of charged requests that the participant may reach
 * @param open whether the customer is far from its limit
 * @param leaseMillis the validity in milliseconds from the time at which the participant sent its report
 * @param fallbackShare the part of the limit that is in force after the lease has expired without contact
 * @param retryAfterMillis when a refused request is likely to be admitted, in milliseconds
 */
public record QuotaLease(
        String customer,
        long number,
        long ceiling,
        boolean open,
        long leaseMillis,
        double fallbackShare,
        long retryAfterMillis) {

    /**
     * Checks the customer.
     *
     * @throws NullPointerException if the customer is null
     */
    public QuotaLease {
        Objects.requireNonNull(customer, "customer");
    }
}
