package org.cassiabank.standin;

import java.util.Objects;

/**
 * The settings of a backend stand-in.
 *
 * @param name the name in responses and records
 * @param host the address to listen on
 * @param port the port to listen on
 * @param slots how many requests run at once
 * @param connections how many connections may be open
 * @param seed the seed of service times and faults
 * @param workMillis the median service time, in milliseconds
 * @param workSpread the standard deviation of the logarithm of the service time; 0 for a constant time
 * @param coldRequests how many requests after the start are slower
 * @param coldMillis for how long after the start requests are slower, in milliseconds
 * @param coldFactor the factor of the service time while cold
 * @param lingerMillis the least time between the start of draining and the exit, in milliseconds
 * @param drainMillis the longest time to wait for work to end while draining, in milliseconds
 */
record BackendSettings(
        String name,
        String host,
        int port,
        int slots,
        int connections,
        long seed,
        double workMillis,
        double workSpread,
        long coldRequests,
        long coldMillis,
        double coldFactor,
        long lingerMillis,
        long drainMillis) {

    BackendSettings {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(host, "host");
        if (slots < 1 || connections < 1) {
            throw new IllegalArgumentException("slots and connections must be at least 1");
        }
        if (workMillis < 0 || workSpread < 0 || coldFactor < 1) {
            throw new IllegalArgumentException("service times must not be negative and the cold factor at least 1");
        }
    }
}
