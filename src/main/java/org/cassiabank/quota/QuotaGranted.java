package org.cassiabank.quota;

/**
 * The request may run.
 *
 * @param charged whether it counts against a limit, so that it has to be released if it does not run
 */
public record QuotaGranted(boolean charged) implements QuotaDecision {}
