package org.cassiabank.admission;

import java.util.Objects;

/**
 * The decision that a request gets no slot; the request has not run.
 *
 * @param reason why no slot is granted
 * @param retryAfterMillis the time after which a retry is likely to be admitted, in milliseconds, not negative
 */
public record Refused(RefusalReason reason, long retryAfterMillis) implements SlotDecision {

    /**
     * Checks the retry time.
     *
     * @throws NullPointerException if the reason is null
     * @throws IllegalArgumentException if the retry time is negative
     */
    public Refused {
        Objects.requireNonNull(reason, "reason");
        if (retryAfterMillis < 0) {
            throw new IllegalArgumentException("retry time is negative: " + retryAfterMillis);
        }
    }
}
