package org.cassiabank.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against requests that are passed on to peers which cannot serve them, while others can. */
class ForwardingOrderTest {
    private static final Instance NEAR = peer("near", "a");
    private static final Instance NEAR_TOO = peer("near-too", "a");
    private static final Instance FAR = peer("far", "b");
    private static final List<Instance> ALL = List.of(FAR, NEAR, NEAR_TOO);

    private final ForwardingOrder order = ForwardingOrder.create("a");
    private final Random random = new Random(1);

    @Test
    void peersOfTheSameFailureDomainAreAskedFirstInRandomOrder() {
        Set<Instance> first = new HashSet<>();
        for (int round = 0; round < 50; round++) {
            List<Instance> ordered = order.order(ALL, 0, random);
            first.add(ordered.getFirst());
            assertThat(ordered.getLast()).isEqualTo(FAR);
        }
        assertThat(first).containsExactlyInAnyOrder(NEAR, NEAR_TOO);
    }

    @Test
    void aPeerThatServedARequestIsAskedBeforeUnknownOnesOfTheSameFailureDomain() {
        order.recordAccepted("far", 0);
        assertThat(order.order(ALL, 5_000, random)).startsWith(FAR);
        assertThat(order.order(ALL, 10_001, random)).endsWith(FAR);
    }

    @Test
    void aPeerThatDeclinedIsAskedLastForAWhile() {
        order.recordAccepted("near", 0);
        order.recordDeclined("near", 100);
        assertThat(order.order(ALL, 200, random)).containsExactly(NEAR_TOO, FAR, NEAR);
        assertThat(order.order(ALL, 2_101, random)).endsWith(FAR);
    }

    private static Instance peer(String name, String domain) {
        return Instance.of(name, InstanceRole.PROXY, "127.0.0.1:1", "region", domain, InstanceState.LIVE);
    }
}
