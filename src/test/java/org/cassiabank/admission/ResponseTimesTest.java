package org.cassiabank.admission;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;

/** Guards against a stopping proxy that takes requests which it cannot answer, or refuses those which it can. */
class ResponseTimesTest {
    private final ResponseTimes times = ResponseTimes.create();

    @Test
    void aRouteWithoutResponsesIsExpectedToTakeItsTargetOrElseItsWholeTime() {
        assertThat(times.expectedMillis("r", 1_500, 5_000)).isEqualTo(1_500);
        assertThat(times.expectedMillis("r", 0, 5_000)).isEqualTo(5_000);
        assertThat(times.expectedMillis("r", 1_500, 700)).isEqualTo(700);
    }

    @Test
    void theLongestRecentResponseCountsOnceThereAreEnough() {
        for (int response = 0; response < 7; response++) {
            times.record("r", 20);
        }
        assertThat(times.expectedMillis("r", 1_500, 5_000)).isEqualTo(1_500);
        times.record("r", 90);
        assertThat(times.expectedMillis("r", 1_500, 5_000)).isEqualTo(90);
        for (int response = 0; response < 32; response++) {
            times.record("r", 30);
        }
        assertThat(times.expectedMillis("r", 1_500, 5_000))
                .as("the slow one is long ago")
                .isEqualTo(30);
        assertThat(times.expectedMillis("other", 1_500, 5_000)).isEqualTo(1_500);
    }

    @Test
    void aSlowResponseCountsBeforeThereAreEnough() {
        times.record("r", 3_000);
        assertThat(times.expectedMillis("r", 1_500, 5_000)).isEqualTo(3_000);
    }

    @Test
    void aNegativeTimeIsRejected() {
        assertThatThrownBy(() -> times.record("r", -1)).isInstanceOf(IllegalArgumentException.class);
    }
}
