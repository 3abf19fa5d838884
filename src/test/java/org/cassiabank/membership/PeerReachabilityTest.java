package org.cassiabank.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests that each wait a timeout for an unreachable peer, and against peers that stay in backoff for
 * good.
 */
class PeerReachabilityTest {
    private final PeerReachability reachability = PeerReachability.create();

    @Test
    void repeatedFailuresLengthenTheBackoffToTenSeconds() {
        List<Long> backoffMillis = new ArrayList<>();
        long nowMillis = 0;
        for (int failure = 0; failure < 5; failure++) {
            reachability.recordFailure("a", nowMillis);
            long startMillis = nowMillis;
            while (!reachability.isReachable("a", nowMillis)) {
                nowMillis += 100;
            }
            backoffMillis.add(nowMillis - startMillis);
        }
        assertThat(backoffMillis).containsExactly(2_000L, 4_000L, 8_000L, 10_000L, 10_000L);
        assertThat(reachability.isReachable("b", 0)).isTrue();
    }

    @Test
    void failuresDuringABackoffDoNotLengthenIt() {
        for (long nowMillis = 0; nowMillis < 2_000; nowMillis += 100) {
            reachability.recordFailure("a", nowMillis);
        }
        assertThat(reachability.isReachable("a", 1_999)).isFalse();
        assertThat(reachability.isReachable("a", 2_000)).isTrue();
    }

    @Test
    void aSuccessEndsTheBackoffAndClearsEarlierFailures() {
        reachability.recordFailure("a", 0);
        reachability.recordFailure("a", 2_000);
        reachability.recordSuccess("a", 2_500);
        assertThat(reachability.isReachable("a", 2_500)).isTrue();
        reachability.recordFailure("a", 3_000);
        assertThat(reachability.isReachable("a", 5_000)).isTrue();
    }

    @Test
    void expiredFailuresDoNotLengthenTheBackoff() {
        reachability.recordFailure("a", 0);
        reachability.recordFailure("a", 2_000);
        reachability.recordFailure("a", 100_000);
        assertThat(reachability.isReachable("a", 102_000)).isTrue();
    }
}
