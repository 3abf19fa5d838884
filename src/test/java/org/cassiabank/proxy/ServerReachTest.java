package org.cassiabank.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against an entry proxy that keeps trying servers it cannot reach, or never tries them again. */
class ServerReachTest {
    private final ServerReach serverReach = ServerReach.create();

    @Test
    void excludesAnUnreachableServerForOneSecond() {
        serverReach.recordFailure("a", 0);
        assertThat(serverReach.serversInBackoff(999)).containsExactly("a");
        assertThat(serverReach.serversInBackoff(1_000)).isEmpty();
    }

    @Test
    void repeatedFailuresLengthenTheExclusionToAtMostFourSeconds() {
        long nowMillis = 0;
        for (int failure = 0; failure < 5; failure++) {
            serverReach.recordFailure("a", nowMillis);
            nowMillis += 4_000;
            assertThat(serverReach.serversInBackoff(nowMillis)).isEmpty();
        }
        serverReach.recordFailure("a", nowMillis);
        assertThat(serverReach.serversInBackoff(nowMillis + 3_999)).containsExactly("a");
    }

    @Test
    void failuresOfConcurrentCallsAreCountedOnce() {
        serverReach.recordFailure("a", 0);
        serverReach.recordFailure("a", 10);
        assertThat(serverReach.serversInBackoff(1_000)).isEmpty();
    }

    @Test
    void aResponseEndsTheExclusion() {
        serverReach.recordFailure("a", 0);
        serverReach.recordSuccess("a");
        assertThat(serverReach.serversInBackoff(1)).isEmpty();
    }
}
