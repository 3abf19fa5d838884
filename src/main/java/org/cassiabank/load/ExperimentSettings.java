package org.cassiabank.load;

/**
 * The settings of an experiment from the command line.
 *
 * @param seed the seed of the schedule and of the backend servers
 * @param proxyCount the number of proxies; with 0, experiments that support it send requests directly to backend
 *     servers
 * @param durationSeconds the duration of the main part of the experiment, in seconds
 */
public record ExperimentSettings(long seed, int proxyCount, int durationSeconds) {

    /**
     * Checks the numbers.
     *
     * @throws IllegalArgumentException if the number of proxies is negative or the duration is below 1 s
     */
    public ExperimentSettings {
        if (proxyCount < 0 || durationSeconds < 1) {
            throw new IllegalArgumentException("proxies must not be negative and seconds must be at least 1");
        }
    }
}
