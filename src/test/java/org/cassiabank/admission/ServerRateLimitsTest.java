package org.cassiabank.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Guards against limits that end with a response from before they were named, or that outlive their server.
 */
class ServerRateLimitsTest {
    private static final RateLimitNotice TWO_A_SECOND = new RateLimitNotice.Limited(2);
    private static final RateLimitNotice UNLIMITED = new RateLimitNotice.Unlimited();

    private final ServerRateLimits limits = ServerRateLimits.create();

    @Test
    void aLimitHoldsFromTheResponseThatNamesIt() {
        assertThat(limits.record("server", TWO_A_SECOND, 900, 1_000)).isTrue();
        assertThat(limits.limit("server")).hasValue(2);
        assertThat(limits.record("server", TWO_A_SECOND, 1_000, 1_100)).isFalse();
        assertThat(limits.limit("other")).isEmpty();
    }

    @Test
    void aResponseWithoutALimitEndsItOnlyIfItsAttemptBeganAfterwards() {
        limits.record("server", TWO_A_SECOND, 900, 1_000);
        assertThat(limits.record("server", UNLIMITED, 999, 1_200)).isFalse();
        assertThat(limits.limit("server")).hasValue(2);
        assertThat(limits.record("server", UNLIMITED, 1_000, 1_300)).isTrue();
        assertThat(limits.limit("server")).isEmpty();
    }

    @Test
    void anAttemptWithoutAResponseChangesNothing() {
        limits.record("server", TWO_A_SECOND, 900, 1_000);
        assertThat(limits.record("server", new RateLimitNotice.Unknown(), 1_100, 1_200))
                .isFalse();
        assertThat(limits.limit("server")).hasValue(2);
    }

    @Test
    void aLimitThatAnotherProxyReportsReplacesOnlyOlderKnowledge() {
        assertThat(limits.merge(new ServerRateLimit("server", 3, 500), 1_000)).isTrue();
        assertThat(limits.merge(new ServerRateLimit("server", 5, 600), 1_000)).isFalse();
        assertThat(limits.limit("server")).hasValue(3);
        limits.record("server", UNLIMITED, 1_000, 1_100);
        assertThat(limits.merge(new ServerRateLimit("server", 3, 200), 1_200)).isFalse();
        assertThat(limits.limit("server")).isEmpty();
        assertThat(limits.merge(new ServerRateLimit("server", 4, 50), 1_200)).isTrue();
        assertThat(limits.all(1_300)).containsExactly(new ServerRateLimit("server", 4, 150));
    }

    @Test
    void serversThatRestartedOrLeftHaveNoLimit() {
        for (String server : Set.of("first", "second", "third")) {
            limits.record(server, TWO_A_SECOND, 900, 1_000);
        }
        limits.forget(Set.of("first"));
        limits.retain(Set.of("first", "second"));
        assertThat(limits.all(1_000)).extracting(ServerRateLimit::server).containsExactly("second");
    }
}
