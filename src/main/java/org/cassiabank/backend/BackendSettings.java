package org.cassiabank.backend;

/**
 * The limits of a {@link BackendClient}.
 *
 * @param connectMillis the longest time to open a connection, in milliseconds
 * @param mostAnswerBytes the largest body of an answer in bytes
 * @param idlePerServer the most idle connections to one server
 * @param idleAgeMillis the time after which an idle connection is closed, in milliseconds
 * @param unrepeatableIdleMillis how long after its last answer a connection may carry a request that may run only once,
 *     in milliseconds; an older one may have been cut without notice. 0 if such requests always open a connection
 */
public record BackendSettings(
        long connectMillis, int mostAnswerBytes, int idlePerServer, long idleAgeMillis, long unrepeatableIdleMillis) {

    /**
     * Checks that the limits are positive.
     */
    public BackendSettings {
        if (connectMillis < 1 || mostAnswerBytes < 1 || idlePerServer < 1 || idleAgeMillis < 1) {
            throw new IllegalArgumentException("limits must be positive");
        }
    }

    /**
     * Returns the settings of the design. A connection usually opens in 1 ms; after 500 ms a retry elsewhere is faster
     * than the resending of a lost SYN packet, which takes 1 s.
     *
     * @return 500 ms to connect, 8 MiB for answers, 2 idle connections for 2 s
     */
    public static BackendSettings defaults() {
        return new BackendSettings(500, 8 << 20, 2, 2_000, 0);
    }
}
