package org.cassiabank.health;

import java.util.Objects;
import java.util.Optional;

/**
 * The limits of the health monitor.
 *
 * @param errorThreshold the log-likelihood ratio at which a server's errors count as proven
 * @param slownessThreshold the log-likelihood ratio at which a server's slowness counts as proven
 * @param slowFactor how many times the usual time of its route an attempt takes to count as slow
 * @param firstHoldOffMillis the time without work after the first ejection, in milliseconds
 * @param maximumHoldOffMillis the upper limit of the hold-off, in milliseconds
 * @param probationAnswers how many good responses end a probation
 * @param coldGraceMillis how long after its cold start a server's slowness is no evidence, in milliseconds
 * @param suspicion how servers are avoided after few abrupt failures; empty if only the outlier test ejects
 */
public record HealthSettings(
        double errorThreshold,
        double slownessThreshold,
        double slowFactor,
        long firstHoldOffMillis,
        long maximumHoldOffMillis,
        int probationAnswers,
        long coldGraceMillis,
        Optional<SuspicionSettings> suspicion) {

    /**
     * Checks that the limits can be met.
     */
    public HealthSettings {
        Objects.requireNonNull(suspicion, "suspicion");
        if (!(errorThreshold > 0) || !(slownessThreshold > 0)) {
            throw new IllegalArgumentException("thresholds must be positive");
        }
        if (!(slowFactor > 1)) {
            throw new IllegalArgumentException("slowFactor must be greater than 1: " + slowFactor);
        }
        if (firstHoldOffMillis <= 0 || maximumHoldOffMillis < firstHoldOffMillis) {
            throw new IllegalArgumentException(
                    "hold-offs must be positive and in order: " + firstHoldOffMillis + ", " + maximumHoldOffMillis);
        }
        if (probationAnswers < 1 || coldGraceMillis < 0) {
            throw new IllegalArgumentException("probationAnswers must be positive and coldGraceMillis not negative");
        }
    }

    /**
     * Returns the limits that section 10 of the design page states.
     *
     * @return the default limits
     */
    public static HealthSettings defaults() {
        return new HealthSettings(20, 24, 4, 1_000, 300_000, 5, 5_000, Optional.empty());
    }

    /**
     * Returns these limits with servers avoided after few abrupt failures.
     *
     * @param settings how quickly and how long
     * @return the limits
     */
    public HealthSettings withSuspicion(SuspicionSettings settings) {
        return new HealthSettings(
                errorThreshold,
                slownessThreshold,
                slowFactor,
                firstHoldOffMillis,
                maximumHoldOffMillis,
                probationAnswers,
                coldGraceMillis,
                Optional.of(settings));
    }
}
