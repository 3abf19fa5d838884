package org.cassiabank.standin;

import java.util.Objects;

/**
 * The settings of a backend stand-in.
 *
 * @param name the name in responses and records
 * @param host the address to listen on
 * @param port the port to listen on
 * @param slots how many requests run at once
 * @param maximumConnections how many connections may be open
 * @param seed the seed of service times and faults
 * @param medianWorkMillis the median service time, in milliseconds
 * @param logWorkDeviation the standard deviation of the logarithm of the service time; 0 for a constant time
 * @param coldRequests how many requests after the start are slower
 * @param coldMillis for how long after the start requests are slower, in milliseconds
 * @param coldFactor the factor of the service time while cold
 * @param minimumDrainMillis the least time between the start of draining and the exit, in milliseconds
 * @param maximumDrainMillis the longest time to wait for work to end while draining, in milliseconds
 */
record BackendSettings(
        String name,
        String host,
        int port,
        int slots,
        int maximumConnections,
        long seed,
        double medianWorkMillis,
        double logWorkDeviation,
        long coldRequests,
        long coldMillis,
        double coldFactor,
        long minimumDrainMillis,
        long maximumDrainMillis) {

    BackendSettings {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(host, "host");
        if (slots < 1 || maximumConnections < 1) {
            throw new IllegalArgumentException("slots and connections must be at least 1");
        }
        if (medianWorkMillis < 0 || logWorkDeviation < 0 || coldFactor < 1) {
            throw new IllegalArgumentException("service times must not be negative and the cold factor at least 1");
        }
    }
}
