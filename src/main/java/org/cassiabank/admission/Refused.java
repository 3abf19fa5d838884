package org.cassiabank.admission;

import java.util.Objects;

/**
 * No slot is given; the request has not run.
 *
 * @param reason the reason
 * @param retryAfterMillis the time after which a retry is likely to be admitted, in milliseconds
 */
public record Refused(RefusalReason reason, long retryAfterMillis) implements SlotDecision {

    /**
     * Checks the components.
     */
    public Refused {
        Objects.requireNonNull(reason, "reason");
        if (retryAfterMillis < 0) {
            throw new IllegalArgumentException("retry time is negative: " + retryAfterMillis);
        }
    }
}
