package org.cassiabank.health;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/**
 * Checks the target of 2 s for the worst seed. In the seeds that miss it, 7 of the 36 attempts that ended within 2 s
 * failed; 9 failures are needed to rule out chance at 1% random errors in 1e9 samples.
 */
class DetectionWorstCaseTest {
    private static final long TARGET_MILLIS = 2_000;
    private static final long SEED_COUNT = 1_000;

    @Test
    void aServerThatFailsHalfItsWorkIsEjectedWithinTwoSecondsInEverySeed() {
        long[] detectionMillis = DetectionTest.measureDetectionMillis(
                "sequential test",
                DetectionTest.Fault.FAILS_HALF,
                SEED_COUNT,
                () -> new ServiceSimulation.MonitorRule(3));
        assertThat(detectionMillis[detectionMillis.length - 1]).isLessThanOrEqualTo(TARGET_MILLIS);
    }
}
