package org.cassiabank.source;

/**
 * The retry budget that the operators of a platform grant to a fleet, all daemons together.
 *
 * @param retryRatio the additional attempts at a service that each request allows, from 0 to 1
 * @param retryAllowancePerWindow the additional attempts at a service that each window also allows, at least 0
 * @param retryWindowMillis the length of the window in milliseconds, at least 1
 */
public record RetryBudgetSettings(double retryRatio, double retryAllowancePerWindow, long retryWindowMillis) {

    /**
     * Checks the ranges of all components.
     *
     * @throws IllegalArgumentException if a component is out of range or not a number
     */
    public RetryBudgetSettings {
        if (!(retryRatio >= 0 && retryRatio <= 1) || !(retryAllowancePerWindow >= 0) || retryWindowMillis < 1) {
            throw new IllegalArgumentException("retry budget settings are out of range");
        }
    }
}
