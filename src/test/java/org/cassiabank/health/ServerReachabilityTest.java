package org.cassiabank.health;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against a proxy that takes failed servers, or one failed domain, for the loss of its own path. */
class ServerReachabilityTest {
    private final ServerReachability reachability = ServerReachability.create();

    @Test
    void threeServersOfTwoDomainsThatCannotBeReachedShowALostPath() {
        assertThat(fail("a1", "a", 0)).isFalse();
        assertThat(fail("a2", "a", 100)).isFalse();
        assertThat(reachability.isCutOff()).isFalse();
        assertThat(fail("b1", "b", 200)).isTrue();
        assertThat(reachability.isCutOff()).isTrue();
        assertThat(fail("b2", "b", 300)).isFalse();
        assertThat(reachability.recordReached()).isTrue();
        assertThat(reachability.isCutOff()).isFalse();
    }

    @Test
    void theServersOfOneDomainAloneDoNot() {
        for (int number = 0; number < 8; number++) {
            assertThat(fail("a" + number, "a", 100 * number)).isFalse();
        }
    }

    @Test
    void oneServerThatFailsRepeatedlyDoesNot() {
        for (int number = 0; number < 8; number++) {
            assertThat(fail("a1", "a", 100 * number)).isFalse();
        }
    }

    @Test
    void aConnectionThatOpensRefutesEarlierFailures() {
        fail("a1", "a", 0);
        fail("b1", "b", 100);
        assertThat(reachability.recordReached()).isFalse();
        assertThat(fail("c1", "c", 200)).isFalse();
        assertThat(reachability.unreachableServers()).containsExactly("c1");
    }

    @Test
    void failuresThatAreFarApartAreNotTakenTogether() {
        fail("a1", "a", 0);
        fail("b1", "b", 4_500);
        assertThat(fail("c1", "c", 9_000)).isFalse();
    }

    @Test
    void aLostPathStaysLostUntilAConnectionOpens() {
        fail("a1", "a", 0);
        fail("b1", "b", 0);
        fail("c1", "c", 0);
        fail("a1", "a", 60_000);
        assertThat(reachability.isCutOff()).isTrue();
    }

    @Test
    void withFewServersOrASingleDomainAllThatThereAreSuffice() {
        assertThat(reachability.recordUnreachable("a1", "a", 2, 1, 0)).isFalse();
        assertThat(reachability.recordUnreachable("a2", "a", 2, 1, 10)).isTrue();
        reachability.recordReached();
        assertThat(reachability.recordUnreachable("a1", "a", 1, 1, 20)).isFalse();
    }

    private boolean fail(String server, String domain, long nowMillis) {
        return reachability.recordUnreachable(
                server, domain, ServerReachability.REQUIRED_SERVERS, ServerReachability.REQUIRED_DOMAINS, nowMillis);
    }
}
