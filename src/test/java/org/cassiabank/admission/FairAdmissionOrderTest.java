package org.cassiabank.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cassiabank.declaration.CostHint;
import org.cassiabank.health.AttemptOutcome;
import org.cassiabank.health.RequestDigest;
import org.cassiabank.health.ServerHealth;
import org.junit.jupiter.api.Test;

/**
 * Checks the order in which one server with one slot serves the queued requests of one customer.
 */
class FairAdmissionOrderTest {
    private static final long TARGET_MILLIS = 1_000;

    private final SlotScheduler scheduler =
            SlotScheduler.create(SchedulerSettings.defaults().withRefuseByPredictedWait(false));
    private long nowMillis;

    FairAdmissionOrderTest() {
        scheduler.replaceServers(
                List.of(SchedulableServer.of("server", "127.0.0.1:20000", 1, ServerHealth.HEALTHY, false, Map.of())),
                0);
        scheduler.setFairAdmission(true);
    }

    /** Guards against a backlog of late requests that makes all later ones late; the running request got a slot too. */
    @Test
    void requestsThatCanMeetTheirTargetGoFirstAndEveryFourthSlotGoesToALateOne() {
        assertThat(servedOrder(0, 0, 900, 900, 900, 900, 900)).containsExactly(2, 3, 0, 4, 5, 6, 1);
    }

    /** Guards against additional attempts, whose requests have waited before, that queue up behind first attempts. */
    @Test
    void anAdditionalAttemptGoesBeforeFirstAttempts() {
        assertThat(servedOrder(900, 900, -900)).containsExactly(2, 0, 1);
    }

    /** Guards against an order that changes where the rules are not in force. */
    @Test
    void withoutTheRulesRequestsAreServedInOrderOfArrival() {
        scheduler.setFairAdmission(false);
        assertThat(servedOrder(0, 900, -900)).containsExactly(0, 1, 2);
    }

    /** Queues requests with what is left of their targets, negative for additional attempts; returns their order. */
    private List<Integer> servedOrder(long... targets) {
        Granted running = (Granted) scheduler.acquire(request(900), nowMillis);
        List<Long> ticketIds = new ArrayList<>();
        for (long target : targets) {
            ticketIds.add(((Queued) scheduler.acquire(request(target), nowMillis)).ticketId());
        }
        List<Integer> order = new ArrayList<>();
        while (order.size() < targets.length) {
            nowMillis += 10;
            scheduler.completeLease(running.leaseId(), AttemptOutcome.ANSWERED, 10_000, nowMillis);
            TicketDecision decided = scheduler.advance(nowMillis).getFirst();
            order.add(ticketIds.indexOf(decided.ticketId()));
            running = (Granted) decided.decision();
        }
        return order;
    }

    private static AdmissionRequest request(long target) {
        return new AdmissionRequest(
                        "entry",
                        "order",
                        "order",
                        "customer",
                        CostHint.SHORT,
                        true,
                        0,
                        5_000,
                        Math.abs(target),
                        Set.of(),
                        Map.of(),
                        new PlacementHints(target < 0 ? 2 : 1, "", Set.of()),
                        RequestDigest.none())
                .withStatedTargetMillis(TARGET_MILLIS);
    }
}
