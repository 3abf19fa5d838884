package org.cassiabank.source;

/**
 * What the operators of a platform allow a fleet, all daemons together.
 *
 * @param retryRatio the additional attempts at a service that each request allows, from 0 to 1
 * @param retryAllowancePerWindow the additional attempts at a service that are allowed in a window besides
 * @param retryWindowMillis the length of that window in milliseconds
 */
public record RetryBudgetSettings(double retryRatio, double retryAllowancePerWindow, long retryWindowMillis) {

    /**
     * Checks the ranges.
     */
    public RetryBudgetSettings {
        if (!(retryRatio >= 0 && retryRatio <= 1) || !(retryAllowancePerWindow >= 0) || retryWindowMillis < 1) {
            throw new IllegalArgumentException("retry bounds are out of range");
        }
    }
}
