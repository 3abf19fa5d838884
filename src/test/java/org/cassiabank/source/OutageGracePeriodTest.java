package org.cassiabank.source;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.cassiabank.membership.Instance;
import org.cassiabank.membership.InstanceRole;
import org.cassiabank.membership.InstanceState;
import org.junit.jupiter.api.Test;

/**
 * Guards against a fleet that loses its live servers after an outage of the store, during which entries expire because
 * they cannot be renewed, and against failed servers that stay listed for ever.
 */
class OutageGracePeriodTest {
    private static final Map<String, Instance> LIVE_A_AND_LEAVING_B =
            Map.of("a", instance("a", 1, InstanceState.LIVE), "b", instance("b", 2, InstanceState.LEAVING));

    private final OutageGracePeriod gracePeriod = new OutageGracePeriod();

    @Test
    void anInstanceThatIsRemovedWithoutAnOutageIsRemovedImmediately() {
        gracePeriod.recordResponse(0);
        gracePeriod.addRetained(LIVE_A_AND_LEAVING_B, 0);
        gracePeriod.recordResponse(100);
        assertThat(gracePeriod.addRetained(Map.of(), 100)).isEmpty();
    }

    @Test
    void aLiveInstanceIsRetainedForTwoSecondsAfterAnOutageAndALeavingOneIsNot() {
        gracePeriod.addRetained(LIVE_A_AND_LEAVING_B, 0);
        gracePeriod.recordFailure(1_000);
        gracePeriod.recordFailure(6_000);
        gracePeriod.recordResponse(6_500);
        assertThat(gracePeriod.addRetained(Map.of(), 6_500)).containsOnlyKeys("a");
        assertThat(gracePeriod.retainedCount()).isEqualTo(1);
        assertThat(gracePeriod.nextEvaluationMillis()).isEqualTo(8_500);
        assertThat(gracePeriod.addRetained(Map.of(), 8_499)).containsOnlyKeys("a");
        assertThat(gracePeriod.addRetained(Map.of(), 8_500)).isEmpty();
    }

    @Test
    void aFailureShorterThanAnOutageRetainsNoInstance() {
        gracePeriod.addRetained(LIVE_A_AND_LEAVING_B, 0);
        gracePeriod.recordFailure(1_000);
        gracePeriod.recordResponse(1_500);
        assertThat(gracePeriod.addRetained(Map.of(), 1_500)).isEmpty();
    }

    @Test
    void anInstanceWhoseAddressIsReusedIsNotRetained() {
        gracePeriod.addRetained(LIVE_A_AND_LEAVING_B, 0);
        gracePeriod.recordFailure(1_000);
        gracePeriod.recordResponse(6_000);
        Map<String, Instance> listed = Map.of("c", instance("c", 1, InstanceState.LIVE));
        assertThat(gracePeriod.addRetained(listed, 6_000)).containsOnlyKeys("c");
    }

    @Test
    void anInstanceThatRegistersAgainIsPublishedInItsNewState() {
        gracePeriod.addRetained(LIVE_A_AND_LEAVING_B, 0);
        gracePeriod.recordFailure(1_000);
        gracePeriod.recordResponse(6_000);
        gracePeriod.addRetained(Map.of(), 6_000);
        Map<String, Instance> listed = Map.of("a", instance("a", 1, InstanceState.LEAVING));
        assertThat(gracePeriod.addRetained(listed, 6_100)).isEqualTo(listed);
    }

    private static Instance instance(String name, int port, InstanceState state) {
        return Instance.of(name, InstanceRole.BACKEND, "127.0.0.1:" + port, "region", "domain", state);
    }
}
