package org.cassiabank.standin;

import java.util.Objects;

/**
 * The settings of a backend stand-in, one component per command-line option of {@link BackendMain}.
 *
 * @param name the name of the server in responses and in its execution record
 * @param host the IP address to listen on
 * @param port the TCP port to listen on
 * @param slots the number of requests that run at once, at least 1
 * @param maximumConnections the number of connections that may be open, at least 1; further ones are closed
 * @param seed the seed of the random sources of service times and faults
 * @param medianWorkMillis the median service time, in milliseconds, at least 0
 * @param logWorkDeviation the standard deviation of the natural logarithm of the service time; 0 for a constant time
 * @param coldRequests the number of requests after the start that are slower
 * @param coldMillis for how long after the start requests are slower, in milliseconds
 * @param coldFactor the factor of the service time of the slower requests after the start, at least 1
 * @param minimumDrainMillis the minimum time between the start of draining and the exit, in milliseconds
 * @param maximumDrainMillis the maximum time to wait for running requests while draining, in milliseconds
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
