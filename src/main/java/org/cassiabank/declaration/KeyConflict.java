package org.cassiabank.declaration;

import java.util.Objects;

/**
 * Two customers that hold the same key, which would identify both of them. The key itself is not named.
 *
 * @param customer the name of the customer that was declared first
 * @param otherCustomer the name of the customer that holds the key too
 */
public record KeyConflict(String customer, String otherCustomer) {

    /**
     * Checks that no component is null.
     */
    public KeyConflict {
        Objects.requireNonNull(customer, "customer");
        Objects.requireNonNull(otherCustomer, "otherCustomer");
    }

    /**
     * Describes the conflict for a finding at the other customer.
     *
     * @return the message, without the key
     */
    public String message() {
        return "customer \"" + customer + "\" holds one of the keys of customer \"" + otherCustomer + "\" too";
    }
}
