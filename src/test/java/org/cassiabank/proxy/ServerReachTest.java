package org.cassiabank.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against an entry proxy that goes on to servers it cannot reach, or never tries them again. */
class ServerReachTest {
    private final ServerReach reach = ServerReach.create();

    @Test
    void aServerThatWasNotReachedIsSkippedForASecond() {
        reach.recordFailure("a", 0);
        assertThat(reach.skipped(999)).containsExactly("a");
        assertThat(reach.skipped(1_000)).isEmpty();
    }

    @Test
    void repeatedFailuresLengthenTheSkipUpToFourSeconds() {
        long now = 0;
        for (int failure = 0; failure < 5; failure++) {
            reach.recordFailure("a", now);
            now += 4_000;
            assertThat(reach.skipped(now)).isEmpty();
        }
        reach.recordFailure("a", now);
        assertThat(reach.skipped(now + 3_999)).containsExactly("a");
    }

    @Test
    void failuresOfCallsThatWereUnderWayCountOnce() {
        reach.recordFailure("a", 0);
        reach.recordFailure("a", 10);
        assertThat(reach.skipped(1_000)).isEmpty();
    }

    @Test
    void anAnswerEndsTheSkip() {
        reach.recordFailure("a", 0);
        reach.recordSuccess("a");
        assertThat(reach.skipped(1)).isEmpty();
    }
}
