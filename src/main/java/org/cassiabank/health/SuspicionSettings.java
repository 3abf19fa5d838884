package org.cassiabank.health;

/**
 * How quickly a server is avoided after abrupt failures, before the outlier test has enough samples.
 *
 * @param firstHoldOffMillis the time without work after the first suspicion, in milliseconds
 * @param maximumHoldOffMillis the upper limit of that time, in milliseconds
 * @param answers how many good responses clear a suspect server
 */
public record SuspicionSettings(long firstHoldOffMillis, long maximumHoldOffMillis, int answers) {

    /**
     * Checks that the limits can be met.
     */
    public SuspicionSettings {
        if (firstHoldOffMillis < 1 || maximumHoldOffMillis < firstHoldOffMillis || answers < 1) {
            throw new IllegalArgumentException("hold-offs must be positive and in order, and answers positive");
        }
    }

    /**
     * Returns the settings for a first hold-off.
     *
     * @param firstHoldOffMillis the time without work after the first suspicion, in milliseconds
     * @return a maximum of three times as long, and two responses, because a server that fails most of its work still
     *     answers some of it
     */
    public static SuspicionSettings of(long firstHoldOffMillis) {
        return new SuspicionSettings(firstHoldOffMillis, 3 * firstHoldOffMillis, 2);
    }
}
