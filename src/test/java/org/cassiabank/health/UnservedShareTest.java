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
            share.recordAttempt(attempt % 10 == 0 ? outcome : AttemptOutcome.ANSWERED, false, 1_000);
        }
        assertThat(share.isHigh(1_000)).isTrue();
    }

    @Test
    void repeatableRequestsCountWhenTheyAreLateOrRefusedAndNotWhenTheyCanBeTriedAgain() {
        for (int attempt = 0; attempt < 40; attempt++) {
            share.recordAttempt(attempt % 4 == 0 ? AttemptOutcome.BROKEN : AttemptOutcome.ANSWERED, true, 1_000);
        }
        assertThat(share.isHigh(1_010)).isFalse();
        for (int request = 0; request < 4; request++) {
            share.recordRefusal(1_020);
        }
        assertThat(share.isHigh(1_020)).isTrue();
        for (int request = 0; request < 40; request++) {
            share.recordAttempt(request % 10 == 0 ? AttemptOutcome.OVERDUE : AttemptOutcome.ANSWERED, true, 4_000);
        }
        assertThat(share.isHigh(4_000)).isTrue();
    }

    /** Guards against failed tests that are the reason for further tests, which fail as well. */
    @ParameterizedTest
    @EnumSource(names = {"FAILED", "BROKEN", "SPOILED", "OVERDUE"})
    void failedTestsOfSuspectServersDoNotCountAndOtherLossesDo(AttemptOutcome outcome) {
        for (int attempt = 0; attempt < 40; attempt++) {
            share.recordAttempt(outcome, false, true, 1_000);
            share.recordAttempt(AttemptOutcome.ANSWERED, false, 1_000);
        }
        assertThat(share.isHigh(1_000)).isFalse();
        for (int attempt = 0; attempt < 5; attempt++) {
            share.recordAttempt(outcome, false, false, 1_000);
        }
        assertThat(share.isHigh(1_000)).isTrue();
    }

    @Test
    void cancelledAndShedAttemptsAreNoFailures() {
        for (int attempt = 0; attempt < 40; attempt++) {
            share.recordAttempt(AttemptOutcome.CANCELLED, false, 0);
            share.recordAttempt(AttemptOutcome.NOT_RUN, false, 0);
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
