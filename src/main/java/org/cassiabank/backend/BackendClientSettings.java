package org.cassiabank.backend;

/**
 * The limits of a {@link BackendClient} for connections and responses.
 *
 * @param connectTimeoutMillis the maximum time for opening a connection, in milliseconds
 * @param maximumResponseBytes the maximum size of a response body in bytes
 * @param maximumIdleConnectionsPerServer the maximum number of idle connections to one server
 * @param maximumIdleMillis the time after which an idle connection is closed, in milliseconds
 * @param unrepeatableIdleMillis the time after the last valid response of a server, in milliseconds, during which its
 *     connections may be reused for a request that may run only once; an older connection may have been cut without
 *     notice. With 0 such requests always open a new connection
 */
public record BackendClientSettings(
        long connectTimeoutMillis,
        int maximumResponseBytes,
        int maximumIdleConnectionsPerServer,
        long maximumIdleMillis,
        long unrepeatableIdleMillis) {

    /**
     * Checks the limits.
     *
     * @throws IllegalArgumentException if a limit other than {@code unrepeatableIdleMillis} is less than 1
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
     * Returns the default settings. A connection usually opens within 1 ms. If it is not open after 500 ms, a retry at
     * another server is faster than waiting for TCP to retransmit a lost SYN packet, which takes 1 s.
     *
     * @return 500 ms for connecting, 8 MiB for a response body, 2 idle connections for 2 s, and a new connection for
     *     each unrepeatable request
     */
    public static BackendClientSettings defaults() {
        return new BackendClientSettings(500, 8 << 20, 2, 2_000, 0);
    }
}
