package org.cassiabank.load;

/**
 * The settings of an experiment.
 *
 * @param seed the seed of the schedule and the backend servers
 * @param proxies the number of proxies; 0 sends requests to the backend servers where an experiment allows it
 * @param seconds the length of the main part of the experiment, in seconds
 */
public record ExperimentSettings(long seed, int proxies, int seconds) {

    /**
     * Checks the values.
     */
    public ExperimentSettings {
        if (proxies < 0 || seconds < 1) {
            throw new IllegalArgumentException("proxies must not be negative and seconds must be at least 1");
        }
    }
}
