package org.cassiabank.source;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.cassiabank.membership.Instance;
import org.cassiabank.membership.InstanceRole;
import org.cassiabank.membership.InstanceState;
import org.junit.jupiter.api.Test;

/** Guards against a fleet that loses its servers because the store was away, and against servers that stay for ever. */
class LapseGuardTest {
    private static final Map<String, Instance> BOTH =
            Map.of("a", instance("a", 1, InstanceState.LIVE), "b", instance("b", 2, InstanceState.LEAVING));

    private final LapseGuard guard = new LapseGuard();

    @Test
    void anInstanceThatIsGoneInCalmTimesIsGoneAtOnce() {
        guard.noteAnswer(0);
        guard.complete(BOTH, 0);
        guard.noteAnswer(100);
        assertThat(guard.complete(Map.of(), 100)).isEmpty();
    }

    @Test
    void aLiveInstanceIsKeptForTwoSecondsAfterAnOutageAndALeavingOneIsNot() {
        guard.complete(BOTH, 0);
        guard.noteFailure(1_000);
        guard.noteFailure(6_000);
        guard.noteAnswer(6_500);
        assertThat(guard.complete(Map.of(), 6_500)).containsOnlyKeys("a");
        assertThat(guard.keptCount()).isEqualTo(1);
        assertThat(guard.nextReviewMillis()).isEqualTo(8_500);
        assertThat(guard.complete(Map.of(), 8_499)).containsOnlyKeys("a");
        assertThat(guard.complete(Map.of(), 8_500)).isEmpty();
    }

    @Test
    void aShortFailureKeepsNothing() {
        guard.complete(BOTH, 0);
        guard.noteFailure(1_000);
        guard.noteAnswer(1_500);
        assertThat(guard.complete(Map.of(), 1_500)).isEmpty();
    }

    @Test
    void anInstanceWhoseAddressIsTakenIsNotKept() {
        guard.complete(BOTH, 0);
        guard.noteFailure(1_000);
        guard.noteAnswer(6_000);
        Map<String, Instance> listed = Map.of("c", instance("c", 1, InstanceState.LIVE));
        assertThat(guard.complete(listed, 6_000)).containsOnlyKeys("c");
    }

    @Test
    void anInstanceThatComesBackIsListedAsItIsNow() {
        guard.complete(BOTH, 0);
        guard.noteFailure(1_000);
        guard.noteAnswer(6_000);
        guard.complete(Map.of(), 6_000);
        Map<String, Instance> back = Map.of("a", instance("a", 1, InstanceState.LEAVING));
        assertThat(guard.complete(back, 6_100)).isEqualTo(back);
    }

    private static Instance instance(String name, int port, InstanceState state) {
        return Instance.of(name, InstanceRole.BACKEND, "127.0.0.1:" + port, "region", "domain", state);
    }
}
