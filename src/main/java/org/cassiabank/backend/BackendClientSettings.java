package org.cassiabank.backend;

/**
 * The limits of a {@link BackendClient}.
 *
 * @param connectTimeoutMillis the longest time to open a connection, in milliseconds
 * @param maximumResponseBytes the largest body of a response in bytes
 * @param maximumIdleConnectionsPerServer the most idle connections to one server
 * @param maximumIdleMillis the time after which an idle connection is closed, in milliseconds
 * @param unrepeatableIdleMillis how long after its last response a connection may carry a request that may run only
 *     once, in milliseconds; an older one may have been cut without notice. 0 if such requests always open a connection
 */
public record BackendClientSettings(
        long connectTimeoutMillis,
        int maximumResponseBytes,
        int maximumIdleConnectionsPerServer,
        long maximumIdleMillis,
        long unrepeatableIdleMillis) {

    /**
     * Checks that the limits are positive.
     */
    public BackendClientSettings {
        if (connectTimeoutMillis < 1
                || maximumResponseBytes < 1
                || maximumIdleConnectionsPerServer < 1
                || maximumIdleMillis < 1) {
            throw new IllegalArgumentException("limits must be positive");
        }
    }

    /**
     * Returns the settings of the design. A connection usually opens in 1 ms; after 500 ms a retry elsewhere is faster
     * than the resending of a lost SYN packet, which takes 1 s.
     *
     * @return 500 ms to connect, 8 MiB for responses, 2 idle connections for 2 s
     */
    public static BackendClientSettings defaults() {
        return new BackendClientSettings(500, 8 << 20, 2, 2_000, 0);
    }
}
