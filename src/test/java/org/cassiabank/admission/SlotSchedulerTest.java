package org.cassiabank.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cassiabank.declaration.CostHint;
import org.cassiabank.health.AttemptOutcome;
import org.cassiabank.health.ServerHealth;
import org.junit.jupiter.api.Test;

/** Guards the single rules of section 8 of the design page. */
class SlotSchedulerTest {
    private final SlotScheduler scheduler = SlotScheduler.create(SchedulerSettings.defaults());

    @Test
    void coldServerDoublesItsSlotsWithFiveAnswersOrOneSecond() {
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
    void unrepeatableWorkTestsAServerOnProbationThatNothingElseTests() {
        List<SchedulableServer> servers =
                List.of(server("healthy", ServerHealth.HEALTHY, 4), server("unhealthy", ServerHealth.PROBATION, 4));
        SlotScheduler testing =
                SlotScheduler.create(SchedulerSettings.defaults().withUnrepeatableProbeDelayMillis(500));
        testing.replaceServers(servers, 0);
        scheduler.replaceServers(servers, 0);
        List<String> granted = new ArrayList<>();
        for (long now : new long[] {500, 501, 502}) {
            granted.add(((Granted) testing.acquire(request(CostHint.SHORT, false), now)).serverName());
            assertThat(firstServer(request(CostHint.SHORT, false), now)).isEqualTo("healthy");
        }
        assertThat(granted).containsExactly("healthy", "unhealthy", "healthy");
    }

    @Test
    void aRepeatedRequestIsNotSentToAServerOnProbation() {
        scheduler.replaceServers(
                List.of(server("healthy", ServerHealth.HEALTHY, 4), server("unhealthy", ServerHealth.PROBATION, 4)), 0);
        assertThat(firstServer(request(new PlacementHints(2, "", Set.of())), 1_000))
                .isEqualTo("healthy");
        assertThat(firstServer(request(PlacementHints.none()), 1_000)).isEqualTo("unhealthy");
    }

    @Test
    void aConnectionOutweighsARequestAndAFailureDomainHalfOfIt() {
        scheduler.replaceServers(List.of(placed("a", "north"), placed("b", "south"), placed("c", "west")), 0);
        assertThat(firstServer(request(new PlacementHints(1, "south", Set.of("c"))), 0))
                .isEqualTo("c");
        assertThat(firstServer(request(new PlacementHints(1, "south", Set.of("c"))), 0))
                .as("c has a request and is in another failure domain, b needs a connection")
                .isEqualTo("b");
        assertThat(firstServer(request(new PlacementHints(1, "north", Set.of())), 0))
                .isEqualTo("a");
        assertThat(firstServer(request(new PlacementHints(1, "west", Set.of("c"))), 0))
                .as("all servers have a request, and c is connected and near")
                .isEqualTo("c");
    }

    @Test
    void failingServerOnProbationIsNotSentAllRepeatableWork() {
        scheduler.replaceServers(
                List.of(server("healthy", ServerHealth.HEALTHY, 4), server("unhealthy", ServerHealth.PROBATION, 4)), 0);
        int failed = 0;
        for (int now = 0; now < 1_000; now++) {
            Granted granted = (Granted) scheduler.acquire(request(CostHint.SHORT, true), now);
            scheduler.completeLease(granted.leaseId(), AttemptOutcome.FAILED, 100, now);
            failed += granted.serverName().equals("unhealthy") ? 1 : 0;
        }
        assertThat(failed).isBetween(9, 11);
    }

    @Test
    void serverThatShedIsBackedOffBrieflyAndLonger() {
        scheduler.replaceServers(List.of(server("full", ServerHealth.HEALTHY, 2)), 0);
        Granted first = (Granted) scheduler.acquire(request(CostHint.SHORT, true), 0);
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
    void longWorkNeverTakesTheLastFreeSlotOfAServer() {
        scheduler.replaceServers(SchedulerSimulation.servers(8, 2), 0);
        assertThat(grantAll(request(CostHint.LONG, true), 0)).hasSize(8);
        assertThat(grantAll(request(CostHint.SHORT, true), 0)).hasSize(8);
    }

    @Test
    void routeBecomesLongWhenItsMeanExceedsEightTimesTheShortMean() {
        scheduler.replaceServers(SchedulerSimulation.servers(8, 2), 0);
        for (int i = 0; i < 40; i++) {
            learn("menu", 10_000);
            learn("notes", 70_000);
        }
        learn("ledger", 1_000_000);
        // A minute later the demand for short work is forgotten, so that half of the slots are open to long work.
        assertThat(grantAll(SchedulerSimulation.request("ledger", "caller", 20_000), 60_000))
                .hasSize(8);
        assertThat(grantAll(SchedulerSimulation.request("notes", "caller", 20_000), 60_000))
                .hasSize(8);
    }

    @Test
    void routeWithoutAnswersCannotTakeAllSlotsOfAKnownService() {
        scheduler.replaceServers(SchedulerSimulation.servers(8, 2), 0);
        learn("menu", 10_000);
        assertThat(grantAll(SchedulerSimulation.request("unknown", "caller", 20_000), 0))
                .hasSize(8);
    }

    @Test
    void hedgeIsOfferedOnlyForRepeatableRequestsWhileASlotIsFree() {
        scheduler.replaceServers(SchedulerSimulation.servers(2, 1), 0);
        for (int i = 0; i < 100; i++) {
            learn("menu", 10_000);
        }
        Granted unrepeatable = (Granted) scheduler.acquire(request(CostHint.SHORT, false), 0);
        assertThat(unrepeatable.hedgeDelayMillis()).isZero();
        scheduler.completeLease(unrepeatable.leaseId(), AttemptOutcome.ANSWERED, 10_000, 0);
        Granted first = (Granted) scheduler.acquire(SchedulerSimulation.request("menu", "caller", 500), 0);
        assertThat(first.hedgeDelayMillis()).isBetween(10L, 12L);
        assertThat(first.leaseDurationMillis()).isEqualTo(750);
        assertThat(grantAll(SchedulerSimulation.request("menu", "caller", 500), 0))
                .extracting(Granted::hedgeDelayMillis)
                .containsExactly(0L);
    }

    @Test
    void expiredLeaseFreesItsSlotAndItsLateReportIsIgnored() {
        scheduler.replaceServers(SchedulerSimulation.servers(1, 1), 0);
        Granted lost = (Granted) scheduler.acquire(SchedulerSimulation.request("menu", "caller", 100), 0);
        Queued queued = (Queued) scheduler.acquire(SchedulerSimulation.request("menu", "caller", 5_000), 0);
        assertThat(scheduler.advance(349)).isEmpty();
        assertThat(scheduler.advance(350)).extracting(TicketDecision::ticketId).containsExactly(queued.ticketId());
        assertThat(scheduler.completeLease(lost.leaseId(), AttemptOutcome.ANSWERED, 10_000, 351))
                .isEmpty();
        assertThat(scheduler.inFlightAttempts(360)).containsExactly(new InFlightAttempt("server-0", "menu", 10_000));
    }

    @Test
    void ticketIsDroppedWhenItIsNotRenewedInTime() {
        scheduler.replaceServers(SchedulerSimulation.servers(1, 1), 0);
        scheduler.acquire(request(CostHint.SHORT, true), 0);
        long kept = ((Queued) scheduler.acquire(request(CostHint.SHORT, true), 0)).ticketId();
        long lost = ((Queued) scheduler.acquire(request(CostHint.SHORT, true), 0)).ticketId();
        assertThat(scheduler.renewTicket(kept, 400)).isEmpty();
        assertThat(reasons(scheduler.advance(500))).containsExactly(Map.entry(lost, RefusalReason.TICKET_EXPIRED));
        assertThat(scheduler.renewTicket(lost, 500))
                .hasValueSatisfying(decision ->
                        assertThat(((Refused) decision).reason().label()).isEqualTo("ticket-expired"));
    }

    @Test
    void queuedRequestIsRefusedWhenItsDeadlineCanNoLongerBeMet() {
        SlotScheduler patient =
                SlotScheduler.create(SchedulerSettings.defaults().withPredictWait(false));
        patient.replaceServers(SchedulerSimulation.servers(1, 1), 0);
        patient.acquire(request(CostHint.SHORT, true), 0);
        long late = ((Queued) patient.acquire(SchedulerSimulation.request("menu", "caller", 300), 0)).ticketId();
        assertThat(patient.advance(290)).isEmpty();
        assertThat(reasons(patient.advance(291))).containsExactly(Map.entry(late, RefusalReason.DEADLINE));
    }

    @Test
    void oneCallerCannotFillTheQueueAgainstOthers() {
        SlotScheduler small =
                SlotScheduler.create(new SchedulerSettings(true, false, 100, 500, 10_000, 0.5, 2_000, 500, 250, 50, 0));
        small.replaceServers(SchedulerSimulation.servers(1, 1), 0);
        small.acquire(request(CostHint.SHORT, true), 0);
        int queued = 0;
        SlotDecision decision = small.acquire(request(CostHint.SHORT, true), 0);
        for (; decision instanceof Queued; queued++) {
            decision = small.acquire(request(CostHint.SHORT, true), 0);
        }
        assertThat(queued).isEqualTo(50);
        assertThat(((Refused) decision).reason()).isEqualTo(RefusalReason.QUEUE_FULL);
        assertThat(((Refused) decision).retryAfterMillis()).isBetween(400L, 700L);
        assertThat(small.acquire(SchedulerSimulation.request("menu", "newcomer", 5_000), 0))
                .isInstanceOf(Queued.class);
    }

    @Test
    void requestThatFindsNoServerIsRefusedWithItsReason() {
        assertThat(refusal(Set.of(), Map.of())).isEqualTo(RefusalReason.NO_SERVER);
        scheduler.replaceServers(
                List.of(server("healthy", ServerHealth.HEALTHY, 1), server("unhealthy", ServerHealth.EJECTED, 1)), 0);
        assertThat(refusal(Set.of("healthy"), Map.of())).isEqualTo(RefusalReason.ALL_EXCLUDED);
        assertThat(refusal(Set.of(), Map.of("name", "unhealthy"))).isEqualTo(RefusalReason.NO_HEALTHY_SERVER);
        assertThat(refusal(Set.of(), Map.of("name", "none"))).isEqualTo(RefusalReason.NO_SERVER);
    }

    @Test
    void lostEntryFreesItsSlotsAndQueuedRequestsOfLostServersAreRefused() {
        scheduler.replaceServers(SchedulerSimulation.servers(1, 1), 0);
        scheduler.acquire(request(CostHint.SHORT, true), 0);
        long queued = ((Queued) scheduler.acquire(SchedulerSimulation.request("menu", "caller", 5_000), 0)).ticketId();
        scheduler.removeEntryProxy("other", 0);
        assertThat(scheduler.advance(0)).extracting(TicketDecision::ticketId).containsExactly(queued);
        long waiting = ((Queued) scheduler.acquire(request(CostHint.SHORT, true), 0)).ticketId();
        scheduler.replaceServers(List.of(), 0);
        assertThat(reasons(scheduler.advance(0))).containsExactly(Map.entry(waiting, RefusalReason.NO_SERVER));
    }

    private String firstServer(AdmissionRequest request, long now) {
        return ((Granted) scheduler.acquire(request, now)).serverName();
    }

    private static AdmissionRequest request(PlacementHints hints) {
        return new AdmissionRequest(
                "other", "menu", "menu", "caller", CostHint.SHORT, true, 0, 10_000, 0, Set.of(), Map.of(), hints);
    }

    private static SchedulableServer placed(String name, String failureDomain) {
        return new SchedulableServer(name, "127.0.0.1:20000", 2, ServerHealth.HEALTHY, false, Map.of(), failureDomain);
    }

    private RefusalReason refusal(Set<String> excluded, Map<String, String> labels) {
        AdmissionRequest request = AdmissionRequest.forFirstAttempt(
                "entry", "menu", "menu", "caller", CostHint.SHORT, true, 100, excluded, labels);
        return ((Refused) scheduler.acquire(request, 0)).reason();
    }

    private static List<Map.Entry<Long, RefusalReason>> reasons(List<TicketDecision> decisions) {
        return decisions.stream()
                .map(decided -> Map.entry(decided.ticketId(), ((Refused) decided.decision()).reason()))
                .toList();
    }

    private void learn(String route, long micros) {
        Granted granted = (Granted) scheduler.acquire(SchedulerSimulation.request(route, "caller", 20_000), 0);
        scheduler.completeLease(granted.leaseId(), AttemptOutcome.ANSWERED, micros, 0);
    }

    /** Offers the request until no more slot is granted; the last offer is cancelled. */
    private List<Granted> grantAll(AdmissionRequest request, long now) {
        List<Granted> granted = new ArrayList<>();
        SlotDecision decision = scheduler.acquire(request, now);
        while (decision instanceof Granted next) {
            granted.add(next);
            decision = scheduler.acquire(request, now);
        }
        if (decision instanceof Queued(long ticket)) {
            scheduler.cancel(ticket, now);
        }
        return granted;
    }

    private static AdmissionRequest request(CostHint cost, boolean repeatable) {
        return AdmissionRequest.forFirstAttempt(
                "other", "menu", "menu", "caller", cost, repeatable, 10_000, Set.of(), Map.of());
    }

    private static SchedulableServer server(String name, ServerHealth health, int slots) {
        return SchedulableServer.of(name, "127.0.0.1:20000", slots, health, false, Map.of("name", name));
    }
}
