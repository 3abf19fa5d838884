package org.cassiabank.load;

import java.util.Objects;

/**
 * How the requests of a schedule are sent.
 *
 * @param tokenPrefix the prefix of all tokens, which distinguishes runs against the same servers
 * @param bypassesProxies whether requests go to backend servers without a proxy
 * @param deadlineMillis the deadline that requests carry, in milliseconds
 * @param callerTimeoutMillis how long callers wait for a whole response, in milliseconds; longer than the deadline
 * @param maximumRepeats how often a caller repeats an unrepeatable request that got no response, with the same key
 * @param paddingBytes the size of the padding in responses, in bytes
 * @param maximumIdleConnections how many idle connections the callers keep open
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
     * Checks the values.
     */
    public LoadSettings {
        Objects.requireNonNull(tokenPrefix, "tokenPrefix");
        if (callerTimeoutMillis <= deadlineMillis) {
            throw new IllegalArgumentException("callers must wait longer than the deadline");
        }
    }

    /**
     * Returns settings with usual values.
     *
     * @param tokenPrefix the prefix of all tokens
     * @return settings for requests through proxies, without repeats
     */
    public static LoadSettings of(String tokenPrefix) {
        return new LoadSettings(tokenPrefix, false, 5_000, 10_000, 0, 200, 400);
    }

    /**
     * Returns these settings for backend servers without a proxy.
     *
     * @return the settings
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
     * Returns these settings with repeats.
     *
     * @param count how often a caller repeats an unrepeatable request that got no response
     * @return the settings
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
     * Returns these settings with another deadline.
     *
     * @param millis the deadline in milliseconds
     * @return the settings, with a patience of 5 s more
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
     * Returns these settings with another prefix of tokens.
     *
     * @param prefix the prefix
     * @return the settings
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
