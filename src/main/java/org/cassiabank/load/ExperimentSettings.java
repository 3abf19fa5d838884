package org.cassiabank.load;

/**
 * The settings of an experiment.
 *
 * @param seed the seed of the schedule and the backend servers
 * @param proxyCount the number of proxies; 0 sends requests to the backend servers where an experiment allows it
 * @param durationSeconds the length of the main part of the experiment, in seconds
 */
public record ExperimentSettings(long seed, int proxyCount, int durationSeconds) {

    /**
     * Checks the values.
     */
    public ExperimentSettings {
        if (proxyCount < 0 || durationSeconds < 1) {
            throw new IllegalArgumentException("proxies must not be negative and seconds must be at least 1");
        }
    }
}
