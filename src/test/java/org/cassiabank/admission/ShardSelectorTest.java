package org.cassiabank.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests that cross failure domains while their own has room, against a full domain that is kept, and
 * against old information that decides.
 */
class ShardSelectorTest {
    private static final List<ShardCandidate> SHARDS = List.of(
            new ShardCandidate(1, "near", 10), new ShardCandidate(2, "far", 10), new ShardCandidate(3, "farther", 10));

    private final ShardSelector selector = ShardSelector.create();
    private final Random random = new Random(1);

    @Test
    void requestsStayInTheirFailureDomainWhileItHasRoom() {
        state(1, 60);
        state(2, 0);
        assertThat(shareOf(1, 0)).isEqualTo(1);
    }

    @Test
    void requestsLeaveAFullFailureDomainUnlessAllAreFull() {
        state(1, 100);
        state(2, 20);
        state(3, 20);
        assertThat(shareOf(1, 0)).isLessThan(0.2);
        state(2, 100);
        state(3, 100);
        assertThat(shareOf(1, 0)).isEqualTo(1);
    }

    @Test
    void aRefusedRequestGoesToTheFailureDomainWithMostRoom() {
        state(1, 100);
        state(2, 90);
        state(3, 50);
        assertThat(selector.chooseAfterRefusal(SHARDS, Set.of(1), random, 0)).hasValue(3);
        assertThat(selector.chooseAfterRefusal(SHARDS, Set.of(1, 2, 3), random, 0))
                .isEmpty();
    }

    @Test
    void undecidedRequestsCountAsLoadAndOldInformationCountsLess() {
        state(1, 0);
        state(2, 0);
        for (int request = 0; request < 95; request++) {
            selector.recordRequest(1);
        }
        assertThat(shareOf(1, 0)).isLessThan(0.3);
        for (int request = 0; request < 95; request++) {
            selector.recordDecision(1);
        }
        state(1, 100);
        selector.recordOccupancy(2, new ShardOccupancy(100, 100, 0), 20_000);
        selector.recordOccupancy(3, new ShardOccupancy(100, 10, 0), 20_000);
        assertThat(shareOf(1, 20_000)).as("the refusals of 20 s ago").isGreaterThan(0.9);
    }

    private void state(int shard, int leasedSlots) {
        selector.recordOccupancy(shard, new ShardOccupancy(100, leasedSlots, 0), 0);
    }

    private double shareOf(int shard, long nowMillis) {
        int chosen = 0;
        for (int request = 0; request < 1_000; request++) {
            chosen += selector.choose(SHARDS, "near", random, nowMillis) == shard ? 1 : 0;
        }
        return chosen / 1_000.0;
    }
}
