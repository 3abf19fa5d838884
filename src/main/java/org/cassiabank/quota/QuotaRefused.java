package org.cassiabank.quota;

/**
 * The request exceeds the limit.
 *
 * @param retryAfterMillis when it is likely to be admitted, in milliseconds
 */
public record QuotaRefused(long retryAfterMillis) implements QuotaDecision {}
