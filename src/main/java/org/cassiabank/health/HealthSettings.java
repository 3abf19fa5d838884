package org.cassiabank.health;

import java.util.Objects;
import java.util.Optional;

/**
 * The thresholds and times of the health monitor.
 *
 * @param errorThreshold the log-likelihood ratio from which on a server's errors are significant, positive
 * @param slownessThreshold the log-likelihood ratio from which on a server's slowness is significant, positive
 * @param slowFactor the multiple of the typical latency of its route from which on an attempt is slow, greater than 1
 * @param firstHoldOffMillis the time without requests after the first ejection, in milliseconds, positive
 * @param maximumHoldOffMillis the upper limit of that time, in milliseconds, at least the first hold-off
 * @param probationResponses the number of good responses that end a probation, at least 1
 * @param coldGraceMillis the time after its cold start in which a server's slowness is no evidence, in milliseconds,
 *     not negative
 * @param suspicion the settings for ejection after a few abrupt failures; empty if only the outlier test ejects
 */
public record HealthSettings(
        double errorThreshold,
        double slownessThreshold,
        double slowFactor,
        long firstHoldOffMillis,
        long maximumHoldOffMillis,
        int probationResponses,
        long coldGraceMillis,
        Optional<SuspicionSettings> suspicion) {

    /**
     * Checks the components.
     *
     * @throws NullPointerException if the suspicion settings are null
     * @throws IllegalArgumentException if a component is out of its range
     */
    public HealthSettings {
        Objects.requireNonNull(suspicion, "suspicion");
        if (!(errorThreshold > 0) || !(slownessThreshold > 0)) {
            throw new IllegalArgumentException("errorThreshold and slownessThreshold must be positive");
        }
        if (!(slowFactor > 1)) {
            throw new IllegalArgumentException("slowFactor must be greater than 1: " + slowFactor);
        }
        if (firstHoldOffMillis <= 0 || maximumHoldOffMillis < firstHoldOffMillis) {
            throw new IllegalArgumentException(
                    "hold-offs must be positive and in order: " + firstHoldOffMillis + ", " + maximumHoldOffMillis);
        }
        if (probationResponses < 1 || coldGraceMillis < 0) {
            throw new IllegalArgumentException("probationResponses must be positive and coldGraceMillis not negative");
        }
    }

    /**
     * Returns the default settings; section 10 of the design page explains the values.
     *
     * @return the default settings, without suspicion
     */
    public static HealthSettings defaults() {
        return new HealthSettings(20, 24, 4, 1_000, 300_000, 5, 5_000, Optional.empty());
    }

    /**
     * Returns these settings with ejection after a few abrupt failures, whose maximum hold-off limits that of other
     * ejections too.
     *
     * @param settings the settings for that ejection
     * @return the changed settings
     */
    public HealthSettings withSuspicion(SuspicionSettings settings) {
        return new HealthSettings(
                errorThreshold,
                slownessThreshold,
                slowFactor,
                Math.min(firstHoldOffMillis, settings.maximumHoldOffMillis()),
                Math.min(maximumHoldOffMillis, settings.maximumHoldOffMillis()),
                probationResponses,
                coldGraceMillis,
                Optional.of(settings));
    }
}
