package org.cassiabank.health;

/**
 * The hold-offs of a server that is ejected after abrupt failures, before the outlier test has enough samples.
 *
 * @param firstHoldOffMillis the time without requests after the first suspicion, in milliseconds
 * @param maximumHoldOffMillis the upper limit of that time, which grows with failed trials, in milliseconds, at least
 *     the first hold-off
 * @param maximumRepeatableHoldOffMillis the upper limit of that time after a failed trial whose request could run
 *     again elsewhere, in milliseconds, at least the first hold-off and at most the maximum one
 * @param neededHoldOffMillis that time while the other servers can hardly carry the load, in milliseconds, at least 1
 *     and at most the first hold-off
 * @param requiredResponses the number of good responses that end the probation, at least 1; one is enough while the
 *     other servers can hardly carry the load
 */
public record SuspicionSettings(
        long firstHoldOffMillis,
        long maximumHoldOffMillis,
        long maximumRepeatableHoldOffMillis,
        long neededHoldOffMillis,
        int requiredResponses) {
    private static final double MAXIMUM_HOLD_OFFS = 2;

    /**
     * A server whose fault has ended has to be used again within 4 s where a trial costs little. The hold-off is
     * shorter, because its trial waits for a request, and its cause may be a response that was lost after the fault.
     */
    private static final double MAXIMUM_REPEATABLE_HOLD_OFFS = 1.3;

    private static final int REQUIRED_RESPONSES = 2;

    /** A trial that fails costs a request, so even a server that is needed is not tried at once. */
    private static final double NEEDED_HOLD_OFFS = 0.4;

    /**
     * Checks the components.
     *
     * @throws IllegalArgumentException if a component is out of its range
     */
    public SuspicionSettings {
        if (neededHoldOffMillis < 1
                || firstHoldOffMillis < neededHoldOffMillis
                || maximumRepeatableHoldOffMillis < firstHoldOffMillis
                || maximumHoldOffMillis < maximumRepeatableHoldOffMillis
                || requiredResponses < 1) {
            throw new IllegalArgumentException(
                    "hold-offs must be positive and in order, and requiredResponses positive");
        }
    }

    /**
     * Returns the settings for a first hold-off.
     *
     * @param firstHoldOffMillis the time without requests after the first suspicion, in milliseconds, at least 1
     * @return settings with a maximum hold-off of twice the first one, of 1.3 times after repeatable requests, of two
     *     fifths while the server is needed, and with two required responses, because a server that fails most requests
     *     still answers some of them
     * @throws IllegalArgumentException if the first hold-off is not positive
     */
    public static SuspicionSettings of(long firstHoldOffMillis) {
        return new SuspicionSettings(
                firstHoldOffMillis,
                Math.round(MAXIMUM_HOLD_OFFS * firstHoldOffMillis),
                Math.round(MAXIMUM_REPEATABLE_HOLD_OFFS * firstHoldOffMillis),
                Math.min(firstHoldOffMillis, Math.max(1, Math.round(NEEDED_HOLD_OFFS * firstHoldOffMillis))),
                REQUIRED_RESPONSES);
    }
}
