package org.cassiabank.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import org.cassiabank.backend.NoValidResponse;
import org.cassiabank.backend.NoValidResponseReason;
import org.cassiabank.backend.NotSent;
import org.junit.jupiter.api.Test;

/** Guards against an entry proxy that keeps trying servers it cannot reach, or never tries them again. */
class UnreachableServersTest {
    private final UnreachableServers unreachableServers = UnreachableServers.create();

    @Test
    void excludesAnUnreachableServerForOneSecond() {
        unreachableServers.recordFailure("a", 0);
        assertThat(unreachableServers.serversInBackoff(999)).containsExactly("a");
        assertThat(unreachableServers.serversInBackoff(1_000)).isEmpty();
    }

    @Test
    void repeatedFailuresLengthenTheExclusionToAtMostFourSeconds() {
        long nowMillis = 0;
        for (int failure = 0; failure < 5; failure++) {
            unreachableServers.recordFailure("a", nowMillis);
            nowMillis += 4_000;
            assertThat(unreachableServers.serversInBackoff(nowMillis)).isEmpty();
        }
        unreachableServers.recordFailure("a", nowMillis);
        assertThat(unreachableServers.serversInBackoff(nowMillis + 3_999)).containsExactly("a");
    }

    @Test
    void failuresOfConcurrentCallsAreCountedOnce() {
        unreachableServers.recordFailure("a", 0);
        unreachableServers.recordFailure("a", 10);
        assertThat(unreachableServers.serversInBackoff(1_000)).isEmpty();
    }

    @Test
    void aSlowServerThatAcceptedTheConnectionIsNotOutOfReach() {
        NoValidResponse timeout = new NoValidResponse(NoValidResponseReason.TIMEOUT, "timeout");
        assertThat(UnreachableServers.isEvidence(timeout, true)).isFalse();
        assertThat(UnreachableServers.isEvidence(timeout, false))
                .as("the connection was open before, its path may be interrupted")
                .isTrue();
        assertThat(UnreachableServers.isEvidence(new NotSent("refused"), false)).isTrue();
        assertThat(UnreachableServers.isEvidence(
                        new NoValidResponse(NoValidResponseReason.CONNECTION_LOST, "reset"), false))
                .isFalse();
    }

    @Test
    void aResponseEndsTheExclusion() {
        unreachableServers.recordFailure("a", 0);
        unreachableServers.recordSuccess("a");
        assertThat(unreachableServers.serversInBackoff(1)).isEmpty();
    }
}
