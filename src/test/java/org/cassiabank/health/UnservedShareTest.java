package org.cassiabank.health;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against servers that stay out of use because those in use fail requests fast and look idle. */
class UnservedShareTest {
    private final UnservedShare share = UnservedShare.create(0);

    @ParameterizedTest
    @EnumSource(names = {"FAILED", "BROKEN", "SPOILED", "OVERDUE"})
    void aTenthOfFailedAttemptsIsHigh(AttemptOutcome outcome) {
        for (int attempt = 0; attempt < 40; attempt++) {
            share.recordAttempt(attempt % 10 == 0 ? outcome : AttemptOutcome.ANSWERED, 1_000);
        }
        assertThat(share.isHigh(1_000)).isTrue();
    }

    @Test
    void refusedRequestsCountAndAttemptsThatAreTriedAgainDoNot() {
        for (int attempt = 0; attempt < 40; attempt++) {
            share.recordAttempt(attempt % 4 == 0 ? AttemptOutcome.BROKEN : AttemptOutcome.ANSWERED, 1_000);
            if (attempt % 4 == 0) {
                share.recordFurtherAttempt(1_010);
            }
        }
        assertThat(share.isHigh(1_010)).isFalse();
        for (int refusal = 0; refusal < 4; refusal++) {
            share.recordRefusal(1_020);
        }
        assertThat(share.isHigh(1_020)).isTrue();
    }

    @Test
    void cancelledAndShedAttemptsAreNoFailures() {
        for (int attempt = 0; attempt < 40; attempt++) {
            share.recordAttempt(AttemptOutcome.CANCELLED, 0);
            share.recordAttempt(AttemptOutcome.NOT_RUN, 0);
        }
        assertThat(share.isHigh(0)).isFalse();
    }

    @Test
    void fewRequestsSayNothing() {
        share.recordRefusal(0);
        share.recordRefusal(0);
        assertThat(share.isHigh(0)).isFalse();
    }

    @Test
    void failuresAreForgottenAfterTwoSeconds() {
        for (int refusal = 0; refusal < 20; refusal++) {
            share.recordRefusal(1_000);
        }
        assertThat(share.isHigh(2_700)).isTrue();
        assertThat(share.isHigh(3_000)).isFalse();
        share.recordRefusal(60_000);
        assertThat(share.isHigh(60_000)).isFalse();
    }
}
