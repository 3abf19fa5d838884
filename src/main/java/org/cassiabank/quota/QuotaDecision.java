package org.cassiabank.quota;

/**
 * Whether a request is within its customer's limit.
 */
public sealed interface QuotaDecision permits QuotaGranted, QuotaRefused {}
