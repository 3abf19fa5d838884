package org.cassiabank.load;

import java.util.Objects;

/**
 * How the requests of a schedule are sent.
 *
 * @param run the prefix of all tokens, which distinguishes runs against the same servers
 * @param direct whether requests go to backend servers without a proxy
 * @param deadlineMillis the deadline that requests carry, in milliseconds
 * @param patienceMillis how long callers wait for a whole response, in milliseconds; longer than the deadline
 * @param repeats how often a caller repeats an unrepeatable request that got no response, with the same key
 * @param answerBytes the size of the padding in responses, in bytes
 * @param idleConnections how many idle connections the callers keep open
 */
public record LoadSettings(
        String run,
        boolean direct,
        long deadlineMillis,
        long patienceMillis,
        int repeats,
        int answerBytes,
        int idleConnections) {

    /**
     * Checks the values.
     */
    public LoadSettings {
        Objects.requireNonNull(run, "run");
        if (patienceMillis <= deadlineMillis) {
            throw new IllegalArgumentException("callers must wait longer than the deadline");
        }
    }

    /**
     * Returns settings with usual values.
     *
     * @param run the prefix of all tokens
     * @return settings for requests through proxies, without repeats
     */
    public static LoadSettings of(String run) {
        return new LoadSettings(run, false, 5_000, 10_000, 0, 200, 400);
    }

    /**
     * Returns these settings for backend servers without a proxy.
     *
     * @return the settings
     */
    public LoadSettings asDirect() {
        return new LoadSettings(run, true, deadlineMillis, patienceMillis, repeats, answerBytes, idleConnections);
    }

    /**
     * Returns these settings with repeats.
     *
     * @param count how often a caller repeats an unrepeatable request that got no response
     * @return the settings
     */
    public LoadSettings withRepeats(int count) {
        return new LoadSettings(run, direct, deadlineMillis, patienceMillis, count, answerBytes, idleConnections);
    }

    /**
     * Returns these settings with another deadline.
     *
     * @param millis the deadline in milliseconds
     * @return the settings, with a patience of 5 s more
     */
    public LoadSettings withDeadline(long millis) {
        return new LoadSettings(run, direct, millis, millis + 5_000, repeats, answerBytes, idleConnections);
    }

    /**
     * Returns these settings with another prefix of tokens.
     *
     * @param prefix the prefix
     * @return the settings
     */
    public LoadSettings withRun(String prefix) {
        return new LoadSettings(prefix, direct, deadlineMillis, patienceMillis, repeats, answerBytes, idleConnections);
    }
}
