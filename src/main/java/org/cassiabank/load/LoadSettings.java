package org.cassiabank.load;

import java.util.Objects;

/**
 * The settings with which the requests of a schedule are sent.
 *
 * @param tokenPrefix the prefix of all tokens and request ids, which distinguishes runs against the same servers
 * @param bypassesProxies whether requests are sent directly to backend servers
 * @param deadlineMillis the deadline that requests carry, in milliseconds
 * @param callerTimeoutMillis how long callers wait for a complete response, in milliseconds; longer than the deadline
 * @param maximumRepeats how often a caller repeats an unrepeatable request, with the same idempotency key, until it
 *     gets a response of a backend server
 * @param paddingBytes the size of the padding that requests ask for in responses, in bytes
 * @param maximumIdleConnections the number of idle connections that the callers keep open
 */
public record LoadSettings(
        String tokenPrefix,
        boolean bypassesProxies,
        long deadlineMillis,
        long callerTimeoutMillis,
        int maximumRepeats,
        int paddingBytes,
        int maximumIdleConnections) {

    /**
     * Checks the prefix and the timeout.
     *
     * @throws NullPointerException if the prefix is null
     * @throws IllegalArgumentException if the timeout is not longer than the deadline
     */
    public LoadSettings {
        Objects.requireNonNull(tokenPrefix, "tokenPrefix");
        if (callerTimeoutMillis <= deadlineMillis) {
            throw new IllegalArgumentException("the caller timeout must be longer than the deadline");
        }
    }

    /**
     * Creates the default settings: requests through proxies without repeats, with a deadline of 5 s, a caller timeout
     * of 10 s, 200 bytes of padding and 400 idle connections.
     *
     * @param tokenPrefix the prefix of all tokens
     * @return the settings
     */
    public static LoadSettings of(String tokenPrefix) {
        return new LoadSettings(tokenPrefix, false, 5_000, 10_000, 0, 200, 400);
    }

    /**
     * Returns a copy for requests that are sent directly to backend servers.
     *
     * @return the changed copy
     */
    public LoadSettings bypassingProxies() {
        return new LoadSettings(
                tokenPrefix,
                true,
                deadlineMillis,
                callerTimeoutMillis,
                maximumRepeats,
                paddingBytes,
                maximumIdleConnections);
    }

    /**
     * Returns a copy with another maximum of repeats.
     *
     * @param count how often a caller repeats an unrepeatable request until it gets a response of a backend server
     * @return the changed copy
     */
    public LoadSettings withMaximumRepeats(int count) {
        return new LoadSettings(
                tokenPrefix,
                bypassesProxies,
                deadlineMillis,
                callerTimeoutMillis,
                count,
                paddingBytes,
                maximumIdleConnections);
    }

    /**
     * Returns a copy with another deadline and a caller timeout that is 5 s longer than the deadline.
     *
     * @param millis the deadline in milliseconds
     * @return the changed copy
     */
    public LoadSettings withDeadlineMillis(long millis) {
        return new LoadSettings(
                tokenPrefix,
                bypassesProxies,
                millis,
                millis + 5_000,
                maximumRepeats,
                paddingBytes,
                maximumIdleConnections);
    }

    /**
     * Returns a copy with another prefix of tokens and request ids.
     *
     * @param prefix the prefix
     * @return the changed copy
     */
    public LoadSettings withTokenPrefix(String prefix) {
        return new LoadSettings(
                prefix,
                bypassesProxies,
                deadlineMillis,
                callerTimeoutMillis,
                maximumRepeats,
                paddingBytes,
                maximumIdleConnections);
    }
}
