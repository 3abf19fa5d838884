package org.cassiabank.quota;

import java.util.Objects;

/**
 * The request exceeds the limit.
 *
 * @param retryAfterMillis when it is likely to be admitted, in milliseconds
 * @param cause the state of the participant's lease
 */
public record QuotaRefused(long retryAfterMillis, QuotaRefusalCause cause) implements QuotaDecision {

    /**
     * Checks that there is a cause.
     *
     * @throws NullPointerException if there is none
     */
    public QuotaRefused {
        Objects.requireNonNull(cause, "cause");
    }
}
