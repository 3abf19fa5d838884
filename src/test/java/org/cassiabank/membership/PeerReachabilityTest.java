package org.cassiabank.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against unreachable peers that cost each request a timeout and against peers that are skipped for good. */
class PeerReachabilityTest {
    private final PeerReachability reachability = PeerReachability.create();

    @Test
    void skipsGrowToTenSecondsForRepeatedFailures() {
        List<Long> skips = new ArrayList<>();
        long now = 0;
        for (int failure = 0; failure < 5; failure++) {
            reachability.recordFailure("a", now);
            long start = now;
            while (!reachability.isReachable("a", now)) {
                now += 100;
            }
            skips.add(now - start);
        }
        assertThat(skips).containsExactly(2_000L, 4_000L, 8_000L, 10_000L, 10_000L);
        assertThat(reachability.isReachable("b", 0)).isTrue();
    }

    @Test
    void callsThatWereUnderWayDoNotLengthenTheSkip() {
        for (long now = 0; now < 2_000; now += 100) {
            reachability.recordFailure("a", now);
        }
        assertThat(reachability.isReachable("a", 1_999)).isFalse();
        assertThat(reachability.isReachable("a", 2_000)).isTrue();
    }

    @Test
    void answerEndsTheSkipAndForgetsEarlierFailures() {
        reachability.recordFailure("a", 0);
        reachability.recordFailure("a", 2_000);
        reachability.recordSuccess("a", 2_500);
        assertThat(reachability.isReachable("a", 2_500)).isTrue();
        reachability.recordFailure("a", 3_000);
        assertThat(reachability.isReachable("a", 5_000)).isTrue();
    }

    @Test
    void failuresOfLongAgoDoNotLengthenTheSkip() {
        reachability.recordFailure("a", 0);
        reachability.recordFailure("a", 2_000);
        reachability.recordFailure("a", 100_000);
        assertThat(reachability.isReachable("a", 102_000)).isTrue();
    }
}
