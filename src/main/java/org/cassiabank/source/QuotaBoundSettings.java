package org.cassiabank.source;

/**
 * How closely a platform requires the limits of customers over all daemons to be kept.
 *
 * @param windowMillis the length of a window in milliseconds, at least 1
 * @param overage the tolerated excess in a window as a fraction of the limit, at least 0
 * @param slack the tolerated excess in a window in requests, at least 0
 */
public record QuotaBoundSettings(long windowMillis, double overage, double slack) {

    /**
     * Checks the ranges of all components.
     *
     * @throws IllegalArgumentException if a component is out of range or not a number
     */
    public QuotaBoundSettings {
        if (windowMillis < 1 || !(overage >= 0) || !(slack >= 0)) {
            throw new IllegalArgumentException("quota bounds are out of range");
        }
    }
}
