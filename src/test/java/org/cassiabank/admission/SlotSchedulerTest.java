package org.cassiabank.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import org.cassiabank.declaration.CostHint;
import org.cassiabank.health.AttemptOutcome;
import org.cassiabank.health.RequestDigest;
import org.cassiabank.health.ServerHealth;
import org.junit.jupiter.api.Test;

/**
 * Guards against violations of single scheduling rules (section 8 of the design page): cold start, probation, back-off,
 * cost classes, hedges, leases, tickets and refusals. Each test reaches its rule through a few calls with given times.
 */
class SlotSchedulerTest {
    private SlotScheduler scheduler = SlotScheduler.create(SchedulerSettings.defaults());

    @Test
    void coldServerDoublesItsSlotsAfterFiveResponsesOrOneSecond() {
        scheduler.replaceServers(List.of(server("old", ServerHealth.EJECTED, 1)), 0);
        scheduler.replaceServers(
                List.of(server("old", ServerHealth.EJECTED, 1), server("new", ServerHealth.HEALTHY, 8)), 0);
        assertThat(scheduler.isWarm("old")).isTrue();
        assertThat(grantAll(request(CostHint.SHORT, true), 0)).hasSize(1);
        assertThat(grantAll(request(CostHint.SHORT, true), 999)).isEmpty();
        assertThat(grantAll(request(CostHint.SHORT, true), 1_000)).hasSize(1);
        for (int i = 0; i < 5; i++) {
            scheduler.completeLease(i + 1, AttemptOutcome.ANSWERED, 1_000, 1_001);
            scheduler.acquire(request(CostHint.SHORT, true), 1_001);
        }
        assertThat(grantAll(request(CostHint.SHORT, true), 1_001)).hasSize(2);
        assertThat(scheduler.isWarm("new")).isFalse();
        scheduler.advance(2_001);
        assertThat(scheduler.isWarm("new")).isTrue();
        assertThat(scheduler.isWarm("unknown")).isFalse();
    }

    @Test
    void serverOnProbationGetsOneRepeatableRequestAtATime() {
        scheduler.replaceServers(
                List.of(server("healthy", ServerHealth.HEALTHY, 1), server("unhealthy", ServerHealth.PROBATION, 4)), 0);
        assertThat(grantAll(request(CostHint.SHORT, false), 0))
                .extracting(Granted::serverName)
                .containsExactly("healthy");
        assertThat(grantAll(request(CostHint.SHORT, true), 0))
                .extracting(Granted::serverName)
                .containsExactly("unhealthy");
    }

    @Test
    void requestsFromBeforeTheProbationDoNotKeepAServerFromBeingTried() {
        SchedulableServer other = server("other", ServerHealth.HEALTHY, 4);
        scheduler.replaceServers(List.of(server("unhealthy", ServerHealth.HEALTHY, 4)), 0);
        for (int request = 0; request < 3; request++) {
            assertThat(acquiredServer(request(CostHint.SHORT, true), 0)).isEqualTo("unhealthy");
        }
        scheduler.replaceServers(List.of(other, server("unhealthy", ServerHealth.EJECTED, 4)), 10);
        scheduler.replaceServers(List.of(other, server("unhealthy", ServerHealth.PROBATION, 4)), 1_010);
        assertThat(acquiredServer(request(CostHint.SHORT, true), 1_010)).isEqualTo("unhealthy");
        assertThat(acquiredServer(request(CostHint.SHORT, true), 3_000))
                .as("all slots are taken")
                .isEqualTo("other");
    }

    @Test
    void aSlowTrialKeepsAServerFromOrdersButNotFromRepeatableRequests() {
        scheduler.replaceServers(
                List.of(server("healthy", ServerHealth.HEALTHY, 9), server("unhealthy", ServerHealth.PROBATION, 9)), 0);
        assertThat(acquiredServer(request(CostHint.SHORT, true), 0)).isEqualTo("unhealthy");
        assertThat(acquiredServer(request(CostHint.SHORT, true), 1_499)).isEqualTo("healthy");
        assertThat(acquiredServer(request(CostHint.SHORT, false), 1_500)).isEqualTo("healthy");
        assertThat(acquiredServer(request(CostHint.SHORT, true), 1_500)).isEqualTo("unhealthy");
        assertThat(acquiredServer(request(CostHint.SHORT, true), 4_499)).isEqualTo("healthy");
        assertThat(acquiredServer(request(CostHint.SHORT, true), 4_500)).isEqualTo("unhealthy");
        scheduler.setCapacityNeeded(true, false);
        assertThat(acquiredServer(request(CostHint.SHORT, true), 5_499)).isEqualTo("healthy");
        assertThat(acquiredServer(request(CostHint.SHORT, false), 5_500)).isEqualTo("healthy");
        assertThat(acquiredServer(request(CostHint.SHORT, true), 5_500)).isEqualTo("unhealthy");
    }

    @Test
    void aServerThatMostlyFailedIsTestedAgainAlthoughOthersHaveFreeSlots() {
        failAllRequestsAt("failing", AttemptOutcome.BROKEN);
        assertThat(acquiredServer(request(CostHint.SHORT, true), 900)).isEqualTo("other");
        assertThat(acquiredServer(request(CostHint.SHORT, false), 1_100)).isEqualTo("other");
        assertThat(acquiredServer(request(CostHint.SHORT, true), 1_100)).isEqualTo("failing");
        assertThat(acquiredServer(request(CostHint.SHORT, false), 4_200))
                .as("only repeatable requests may test a server")
                .isEqualTo("other");
    }

    @Test
    void aServerThatMostlyFailedIsTestedByAnOrderAfterThreeSecondsWhereOrdersMayTestServers() {
        scheduler = SlotScheduler.create(SchedulerSettings.defaults().withUnrepeatableProbeDelayMillis(500));
        failAllRequestsAt("failing", AttemptOutcome.BROKEN);
        assertThat(acquiredServer(request(CostHint.SHORT, false), 2_900)).isEqualTo("other");
        assertThat(acquiredServer(request(CostHint.SHORT, false), 3_100)).isEqualTo("failing");
    }

    @Test
    void requestsThatFailAfterALaterOneWasAnsweredDoNotLimitAServerToTests() {
        scheduler.replaceServers(List.of(server("only", ServerHealth.HEALTHY, 8)), 0);
        List<Granted> old = grantAll(request(CostHint.SHORT, true), 0);
        Granted first = old.removeLast();
        scheduler.completeLease(first.leaseId(), AttemptOutcome.ANSWERED, 1_000, 100);
        old.forEach(granted -> scheduler.completeLease(granted.leaseId(), AttemptOutcome.OVERDUE, 5_000_000, 5_000));
        assertThat(scheduler.load(5_000).limitedServers()).isZero();
        scheduler.replaceServers(
                List.of(server("only", ServerHealth.HEALTHY, 8), server("other", ServerHealth.HEALTHY, 8)), 5_000);
        assertThat(scheduler.load(5_000).limitedServers()).isZero();
    }

    /** Makes a server fail six requests at time 0 beside another one that answers. */
    private void failAllRequestsAt(String name, AttemptOutcome outcome) {
        scheduler.replaceServers(List.of(server(name, ServerHealth.HEALTHY, 6)), 0);
        grantAll(request(CostHint.SHORT, true), 0)
                .forEach(granted -> scheduler.completeLease(granted.leaseId(), outcome, 5_000, 10));
        scheduler.replaceServers(
                List.of(server(name, ServerHealth.HEALTHY, 6), server("other", ServerHealth.HEALTHY, 6)), 10);
        assertThat(scheduler.load(10).limitedServers()).isOne();
    }

    @Test
    void unrepeatableRequestTestsAServerOnProbationWithoutRepeatableRequests() {
        List<SchedulableServer> servers =
                List.of(server("healthy", ServerHealth.HEALTHY, 4), server("unhealthy", ServerHealth.PROBATION, 4));
        SlotScheduler probingScheduler =
                SlotScheduler.create(SchedulerSettings.defaults().withUnrepeatableProbeDelayMillis(500));
        probingScheduler.replaceServers(servers, 0);
        scheduler.replaceServers(servers, 0);
        List<String> granted = new ArrayList<>();
        for (long nowMillis : new long[] {500, 501, 502}) {
            granted.add(((Granted) probingScheduler.acquire(request(CostHint.SHORT, false), nowMillis)).serverName());
            assertThat(acquiredServer(request(CostHint.SHORT, false), nowMillis))
                    .isEqualTo("healthy");
        }
        assertThat(granted).containsExactly("healthy", "unhealthy", "healthy");
    }

    @Test
    void additionalAttemptIsNotSentToAServerOnProbation() {
        scheduler.replaceServers(
                List.of(server("healthy", ServerHealth.HEALTHY, 4), server("unhealthy", ServerHealth.PROBATION, 4)), 0);
        assertThat(acquiredServer(request(new PlacementHints(2, "", Set.of())), 1_000))
                .isEqualTo("healthy");
        assertThat(acquiredServer(request(PlacementHints.none()), 1_000)).isEqualTo("unhealthy");
    }

    @Test
    void connectionCountsAsOneLeaseAndFailureDomainAsHalfALease() {
        scheduler.replaceServers(
                List.of(
                        serverInFailureDomain("a", "north"),
                        serverInFailureDomain("b", "south"),
                        serverInFailureDomain("c", "west")),
                0);
        assertThat(acquiredServer(request(new PlacementHints(1, "south", Set.of("c"))), 0))
                .isEqualTo("c");
        assertThat(acquiredServer(request(new PlacementHints(1, "south", Set.of("c"))), 0))
                .as("c has a request and is in another failure domain, b needs a connection")
                .isEqualTo("b");
        assertThat(acquiredServer(request(new PlacementHints(1, "north", Set.of())), 0))
                .isEqualTo("a");
        assertThat(acquiredServer(request(new PlacementHints(1, "west", Set.of("c"))), 0))
                .as("all servers have a request, and c is connected and near")
                .isEqualTo("c");
    }

    @Test
    void failingServerOnProbationGetsFewRepeatableRequests() {
        scheduler.replaceServers(
                List.of(server("healthy", ServerHealth.HEALTHY, 4), server("unhealthy", ServerHealth.PROBATION, 4)), 0);
        int failed = 0;
        for (int nowMillis = 0; nowMillis < 1_000; nowMillis++) {
            Granted granted = (Granted) scheduler.acquire(request(CostHint.SHORT, true), nowMillis);
            scheduler.completeLease(granted.leaseId(), AttemptOutcome.FAILED, 100, nowMillis);
            failed += granted.serverName().equals("unhealthy") ? 1 : 0;
        }
        assertThat(failed).isBetween(9, 11);
    }

    @Test
    void backoffOfASheddingServerDoublesWhileAnotherServerShedsNothing() {
        scheduler.replaceServers(
                List.of(server("full", ServerHealth.HEALTHY, 2), server("busy", ServerHealth.HEALTHY, 1)), 0);
        Granted first = (Granted) scheduler.acquire(request(CostHint.SHORT, true), 0);
        assertThat(first.serverName()).isEqualTo("full");
        assertThat(acquiredServer(request(CostHint.SHORT, true), 0)).isEqualTo("busy");
        scheduler.completeLease(first.leaseId(), AttemptOutcome.NOT_RUN, 0, 0);
        Queued queued = (Queued) scheduler.acquire(request(CostHint.SHORT, true), 0);
        assertThat(scheduler.advance(49)).isEmpty();
        Granted second = (Granted) scheduler.advance(50).getFirst().decision();
        scheduler.completeLease(second.leaseId(), AttemptOutcome.NOT_RUN, 0, 50);
        assertThat(scheduler.acquire(request(CostHint.SHORT, true), 149)).isInstanceOf(Queued.class);
        assertThat(scheduler.advance(150)).hasSize(1);
        assertThat(queued.ticketId()).isPositive();
    }

    @Test
    void onlyTheInitialBackoffCountsWhileAllServersShed() {
        scheduler.replaceServers(List.of(server("shedding", ServerHealth.HEALTHY, 2)), 0);
        int nowMillis = 0;
        for (int shedRequest = 0; shedRequest < 8; shedRequest++) {
            Granted granted = (Granted) scheduler.acquire(request(CostHint.SHORT, true), nowMillis);
            scheduler.completeLease(granted.leaseId(), AttemptOutcome.NOT_RUN, 0, nowMillis);
            assertThat(scheduler.acquire(request(CostHint.SHORT, true), nowMillis + 49))
                    .isNotInstanceOf(Granted.class);
            scheduler.removeEntryProxy("other", nowMillis + 49);
            nowMillis += 50;
        }
    }

    @Test
    void longWorkNeverOccupiesTheLastFreeSlotOfAServer() {
        scheduler.replaceServers(SchedulerSimulation.servers(8, 2), 0);
        assertThat(grantAll(request(CostHint.LONG, true), 0)).hasSize(8);
        assertThat(grantAll(request(CostHint.SHORT, true), 0)).hasSize(8);
    }

    @Test
    void routeBecomesLongWhenItsMeanExceedsEightTimesTheShortMean() {
        scheduler.replaceServers(SchedulerSimulation.servers(8, 2), 0);
        for (int i = 0; i < 40; i++) {
            recordResponse("menu", 10_000);
            recordResponse("notes", 70_000);
        }
        recordResponse("ledger", 1_000_000);
        // A minute later the estimated demand for short work is 0, so that long work may hold half of the slots.
        assertThat(grantAll(SchedulerSimulation.request("ledger", "customer", 20_000), 60_000))
                .hasSize(8);
        assertThat(grantAll(SchedulerSimulation.request("notes", "customer", 20_000), 60_000))
                .hasSize(8);
    }

    @Test
    void routeWithoutResponsesCannotOccupyAllSlots() {
        scheduler.replaceServers(SchedulerSimulation.servers(8, 2), 0);
        recordResponse("menu", 10_000);
        assertThat(grantAll(SchedulerSimulation.request("unknown", "customer", 20_000), 0))
                .hasSize(8);
    }

    @Test
    void hedgeIsOfferedOnlyForRepeatableRequestsWhileASlotIsFree() {
        scheduler.replaceServers(SchedulerSimulation.servers(2, 1), 0);
        for (int i = 0; i < 100; i++) {
            recordResponse("menu", 10_000);
        }
        Granted unrepeatable = (Granted) scheduler.acquire(request(CostHint.SHORT, false), 0);
        assertThat(unrepeatable.hedgeDelayMillis()).isZero();
        scheduler.completeLease(unrepeatable.leaseId(), AttemptOutcome.ANSWERED, 10_000, 0);
        Granted first = (Granted) scheduler.acquire(SchedulerSimulation.request("menu", "customer", 500), 0);
        assertThat(first.hedgeDelayMillis()).isBetween(10L, 12L);
        assertThat(first.leaseDurationMillis()).isEqualTo(750);
        assertThat(grantAll(SchedulerSimulation.request("menu", "customer", 500), 0))
                .extracting(Granted::hedgeDelayMillis)
                .containsExactly(0L);
    }

    @Test
    void expiredLeaseFreesItsSlotAndItsLateReportIsIgnored() {
        scheduler.replaceServers(SchedulerSimulation.servers(1, 1), 0);
        Granted expired = (Granted) scheduler.acquire(SchedulerSimulation.request("menu", "customer", 100), 0);
        Queued queued = (Queued) scheduler.acquire(SchedulerSimulation.request("menu", "customer", 5_000), 0);
        assertThat(scheduler.advance(349)).isEmpty();
        assertThat(scheduler.advance(350)).extracting(TicketDecision::ticketId).containsExactly(queued.ticketId());
        assertThat(scheduler.completeLease(expired.leaseId(), AttemptOutcome.ANSWERED, 10_000, 351))
                .isEmpty();
        assertThat(scheduler.inFlightAttempts(360))
                .containsExactly(new InFlightAttempt("server-0", "menu", RequestDigest.none(), 10_000));
    }

    @Test
    void ticketExpiresWhenItIsNotRenewedInTime() {
        scheduler.replaceServers(SchedulerSimulation.servers(1, 1), 0);
        scheduler.acquire(request(CostHint.SHORT, true), 0);
        long renewedTicketId = ((Queued) scheduler.acquire(request(CostHint.SHORT, true), 0)).ticketId();
        long expiredTicketId = ((Queued) scheduler.acquire(request(CostHint.SHORT, true), 0)).ticketId();
        assertThat(scheduler.renewTicket(renewedTicketId, 400)).isEmpty();
        assertThat(refusalReasons(scheduler.advance(500)))
                .containsExactly(Map.entry(expiredTicketId, RefusalReason.TICKET_EXPIRED));
        assertThat(scheduler.renewTicket(expiredTicketId, 500))
                .hasValueSatisfying(decision ->
                        assertThat(((Refused) decision).reason().label()).isEqualTo("ticket-expired"));
    }

    @Test
    void queuedRequestIsRefusedWhenItsDeadlineCanNoLongerBeMet() {
        SlotScheduler withoutPrediction =
                SlotScheduler.create(SchedulerSettings.defaults().withRefuseByPredictedWait(false));
        withoutPrediction.replaceServers(SchedulerSimulation.servers(1, 1), 0);
        withoutPrediction.acquire(request(CostHint.SHORT, true), 0);
        long lateTicketId = ((Queued)
                        withoutPrediction.acquire(SchedulerSimulation.request("menu", "customer", 300), 0))
                .ticketId();
        assertThat(withoutPrediction.advance(290)).isEmpty();
        assertThat(refusalReasons(withoutPrediction.advance(291)))
                .containsExactly(Map.entry(lateTicketId, RefusalReason.DEADLINE));
    }

    @Test
    void oneCustomerCannotFillTheQueueForOthers() {
        SlotScheduler smallQueueScheduler =
                SlotScheduler.create(new SchedulerSettings(true, false, 100, 500, 10_000, 0.5, 2_000, 500, 250, 50, 0));
        smallQueueScheduler.replaceServers(SchedulerSimulation.servers(1, 1), 0);
        smallQueueScheduler.acquire(request(CostHint.SHORT, true), 0);
        int queued = 0;
        SlotDecision decision = smallQueueScheduler.acquire(request(CostHint.SHORT, true), 0);
        for (; decision instanceof Queued; queued++) {
            decision = smallQueueScheduler.acquire(request(CostHint.SHORT, true), 0);
        }
        assertThat(queued).isEqualTo(50);
        assertThat(((Refused) decision).reason()).isEqualTo(RefusalReason.QUEUE_FULL);
        assertThat(((Refused) decision).retryAfterMillis()).isBetween(400L, 700L);
        assertThat(smallQueueScheduler.acquire(SchedulerSimulation.request("menu", "newcomer", 5_000), 0))
                .isInstanceOf(Queued.class);
    }

    @Test
    void requestThatFindsNoServerIsRefusedWithItsReason() {
        assertThat(refusalReason(Set.of(), Map.of())).isEqualTo(RefusalReason.NO_SERVER);
        scheduler.replaceServers(
                List.of(server("healthy", ServerHealth.HEALTHY, 1), server("unhealthy", ServerHealth.EJECTED, 1)), 0);
        assertThat(refusalReason(Set.of("healthy"), Map.of())).isEqualTo(RefusalReason.ALL_EXCLUDED);
        assertThat(refusalReason(Set.of(), Map.of("name", "unhealthy"))).isEqualTo(RefusalReason.NO_HEALTHY_SERVER);
        assertThat(refusalReason(Set.of(), Map.of("name", "none"))).isEqualTo(RefusalReason.NO_SERVER);
    }

    @Test
    void removedEntryProxyFreesItsSlotsAndRemovedServersRefuseQueuedRequests() {
        scheduler.replaceServers(SchedulerSimulation.servers(1, 1), 0);
        scheduler.acquire(request(CostHint.SHORT, true), 0);
        long grantedTicketId =
                ((Queued) scheduler.acquire(SchedulerSimulation.request("menu", "customer", 5_000), 0)).ticketId();
        scheduler.removeEntryProxy("other", 0);
        assertThat(scheduler.advance(0)).extracting(TicketDecision::ticketId).containsExactly(grantedTicketId);
        long refusedTicketId = ((Queued) scheduler.acquire(request(CostHint.SHORT, true), 0)).ticketId();
        scheduler.replaceServers(List.of(), 0);
        assertThat(refusalReasons(scheduler.advance(0)))
                .containsExactly(Map.entry(refusedTicketId, RefusalReason.NO_SERVER));
    }

    private String acquiredServer(AdmissionRequest request, long nowMillis) {
        return ((Granted) scheduler.acquire(request, nowMillis)).serverName();
    }

    private static AdmissionRequest request(PlacementHints hints) {
        return new AdmissionRequest(
                "other",
                "menu",
                "menu",
                "customer",
                CostHint.SHORT,
                true,
                0,
                10_000,
                0,
                Set.of(),
                Map.of(),
                hints,
                RequestDigest.none());
    }

    private static SchedulableServer serverInFailureDomain(String name, String failureDomain) {
        return new SchedulableServer(
                name,
                "127.0.0.1:20000",
                2,
                ServerHealth.HEALTHY,
                false,
                Map.of(),
                failureDomain,
                OptionalDouble.empty());
    }

    private RefusalReason refusalReason(Set<String> excludedServers, Map<String, String> requiredLabels) {
        AdmissionRequest request = AdmissionRequest.forFirstAttempt(
                "entry", "menu", "menu", "customer", CostHint.SHORT, true, 100, excludedServers, requiredLabels);
        return ((Refused) scheduler.acquire(request, 0)).reason();
    }

    private static List<Map.Entry<Long, RefusalReason>> refusalReasons(List<TicketDecision> decisions) {
        return decisions.stream()
                .map(decided -> Map.entry(decided.ticketId(), ((Refused) decided.decision()).reason()))
                .toList();
    }

    private void recordResponse(String route, long latencyMicros) {
        Granted granted = (Granted) scheduler.acquire(SchedulerSimulation.request(route, "customer", 20_000), 0);
        scheduler.completeLease(granted.leaseId(), AttemptOutcome.ANSWERED, latencyMicros, 0);
    }

    /** Requests slots until none is granted; a request that is queued then is cancelled. */
    private List<Granted> grantAll(AdmissionRequest request, long nowMillis) {
        List<Granted> granted = new ArrayList<>();
        SlotDecision decision = scheduler.acquire(request, nowMillis);
        while (decision instanceof Granted next) {
            granted.add(next);
            decision = scheduler.acquire(request, nowMillis);
        }
        if (decision instanceof Queued(long ticketId)) {
            scheduler.cancel(ticketId, nowMillis);
        }
        return granted;
    }

    private static AdmissionRequest request(CostHint costHint, boolean repeatable) {
        return AdmissionRequest.forFirstAttempt(
                "other", "menu", "menu", "customer", costHint, repeatable, 10_000, Set.of(), Map.of());
    }

    private static SchedulableServer server(String name, ServerHealth health, int slots) {
        return SchedulableServer.of(name, "127.0.0.1:20000", slots, health, false, Map.of("name", name));
    }
}
