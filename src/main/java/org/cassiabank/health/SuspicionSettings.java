package org.cassiabank.health;

/**
 * The hold-offs of a server that is ejected after abrupt failures, before the outlier test has enough samples.
 *
 * @param firstHoldOffMillis the time without requests after the first suspicion, in milliseconds, at least 1
 * @param maximumHoldOffMillis the upper limit of that time, in milliseconds, at least the first hold-off
 * @param requiredResponses the number of good responses that end the probation, at least 1
 */
public record SuspicionSettings(long firstHoldOffMillis, long maximumHoldOffMillis, int requiredResponses) {

    /**
     * Checks the components.
     *
     * @throws IllegalArgumentException if a component is out of its range
     */
    public SuspicionSettings {
        if (firstHoldOffMillis < 1 || maximumHoldOffMillis < firstHoldOffMillis || requiredResponses < 1) {
            throw new IllegalArgumentException(
                    "hold-offs must be positive and in order, and requiredResponses positive");
        }
    }

    /**
     * Returns the settings for a first hold-off.
     *
     * @param firstHoldOffMillis the time without requests after the first suspicion, in milliseconds, at least 1
     * @return settings with a maximum hold-off of three times the first one, and two required responses, because a
     *     server that fails most requests still answers some of them
     * @throws IllegalArgumentException if the first hold-off is not positive
     */
    public static SuspicionSettings of(long firstHoldOffMillis) {
        return new SuspicionSettings(firstHoldOffMillis, 3 * firstHoldOffMillis, 2);
    }
}
