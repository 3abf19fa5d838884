package org.cassiabank.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.cassiabank.declaration.CostHint;
import org.cassiabank.health.AttemptOutcome;
import org.cassiabank.health.ServerHealth;

/**
 * Guards against violated invariants of the scheduler that only certain sequences of operations cause: a request
 * without or with two decisions, more leases than slots, a grant at an unsuitable server, unfair shares and starvation.
 */
class SlotSchedulerPropertiesTest {

    @Property(tries = 300)
    void randomOperationsKeepAllInvariants(
            @ForAll long seed, @ForAll boolean separateLongWork, @ForAll boolean refuseByPredictedWait) {
        RandomOperations operations = new RandomOperations(
                SchedulerSettings.defaults()
                        .withSeparateLongWork(separateLongWork)
                        .withRefuseByPredictedWait(refuseByPredictedWait),
                seed);
        for (int i = 0; i < 400; i++) {
            operations.performRandomOperation();
        }
        operations.checkThatAllRequestsEnd();
    }

    @Property(tries = 50)
    void backloggedCustomersGetEqualWork(@ForAll long seed, @ForAll @IntRange(min = 2, max = 6) int customers) {
        SlotScheduler scheduler =
                SlotScheduler.create(SchedulerSettings.defaults().withRefuseByPredictedWait(false));
        scheduler.replaceServers(SchedulerSimulation.servers(2, 2), 0);
        Random random = new Random(seed);
        long[] serviceMicros = random.longs(customers, 5_000, 30_000).toArray();
        long nowMillis = 0;
        for (int i = 0; i < customers; i++) {
            Granted granted = (Granted)
                    scheduler.acquire(SchedulerSimulation.request("route-" + i, "warm-up", 100_000), nowMillis);
            scheduler.completeLease(granted.leaseId(), AttemptOutcome.ANSWERED, serviceMicros[i], nowMillis);
        }
        Map<Long, Integer> customersByTicket = new HashMap<>();
        List<Granted> running = new ArrayList<>();
        for (int i = 0; i < customers * 200; i++) {
            int customer = i / 200;
            SlotDecision decision = scheduler.acquire(
                    SchedulerSimulation.request("route-" + customer, "customer-" + customer, 100_000), nowMillis);
            if (decision instanceof Queued queued) {
                customersByTicket.put(queued.ticketId(), customer);
            } else {
                running.add((Granted) decision);
            }
        }
        long[] workMicros = new long[customers];
        for (int i = 0; i < 200; i++) {
            running.forEach(granted -> scheduler.completeLease(granted.leaseId(), AttemptOutcome.CANCELLED, 0, 0));
            running.clear();
            for (TicketDecision decided : scheduler.advance(nowMillis)) {
                running.add((Granted) decided.decision());
                int customer = customersByTicket.get(decided.ticketId());
                workMicros[customer] += serviceMicros[customer];
            }
            long leastWorkMicros = Arrays.stream(workMicros).min().orElseThrow();
            long mostWorkMicros = Arrays.stream(workMicros).max().orElseThrow();
            if (mostWorkMicros / 5_000 > 190) {
                return;
            }
            // Customer 0 also got the four slots that were free at the start.
            assertThat(mostWorkMicros - leastWorkMicros).isLessThanOrEqualTo(6 * 30_000);
        }
    }

    @Property(tries = 30)
    void customerWithOneRequestIsNotDelayedByOneWithTenThousand(
            @ForAll @IntRange(min = 0, max = 9_000) int servedRequests) {
        SchedulerSettings defaults = SchedulerSettings.defaults();
        SlotScheduler scheduler = SlotScheduler.create(new SchedulerSettings(
                true,
                false,
                30_000,
                500,
                10_000,
                0.5,
                2000,
                defaults.ticketLifetimeMillis(),
                defaults.leaseGraceMillis(),
                50,
                0));
        scheduler.replaceServers(SchedulerSimulation.servers(1, 2), 0);
        List<Granted> running = new ArrayList<>();
        for (int i = 0; i < 10_000; i++) {
            if (scheduler.acquire(SchedulerSimulation.request("menu", "many", 100_000), 0) instanceof Granted granted) {
                running.add(granted);
            }
        }
        for (int i = 0; i < servedRequests; i++) {
            scheduler.completeLease(running.removeFirst().leaseId(), AttemptOutcome.ANSWERED, 20_000, 0);
            scheduler.advance(0).forEach(decided -> running.add((Granted) decided.decision()));
        }
        Set<Long> queuedTicketIds = new HashSet<>();
        Queued first = (Queued) scheduler.acquire(SchedulerSimulation.request("menu", "one", 100_000), 0);
        scheduler.completeLease(running.removeFirst().leaseId(), AttemptOutcome.ANSWERED, 20_000, 0);
        List<TicketDecision> decisions = scheduler.advance(0);
        assertThat(decisions).extracting(TicketDecision::ticketId).containsExactly(first.ticketId());
        running.add((Granted) decisions.getFirst().decision());
        for (int i = 0; i < 50; i++) {
            queuedTicketIds.add(
                    ((Queued) scheduler.acquire(SchedulerSimulation.request("menu", "one", 100_000), 0)).ticketId());
        }
        // An idle customer accumulates no credit, so that the two customers alternate from now on.
        List<Long> grantedTicketIds = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            scheduler.completeLease(running.removeFirst().leaseId(), AttemptOutcome.ANSWERED, 20_000, 0);
            scheduler.advance(0).forEach(decided -> {
                running.add((Granted) decided.decision());
                grantedTicketIds.add(decided.ticketId());
            });
        }
        assertThat(grantedTicketIds).filteredOn(queuedTicketIds::contains).hasSizeBetween(9, 11);
    }

    @Property(tries = 40)
    void neitherCostClassStarvesUnderContinuousLoadOfTheOther(
            @ForAll @IntRange(min = 1, max = 8) int servers,
            @ForAll @IntRange(min = 1, max = 6) int slotsPerServer,
            @ForAll boolean longIsRare,
            @ForAll long seed) {
        SlotScheduler scheduler = SlotScheduler.create(SchedulerSettings.defaults());
        scheduler.replaceServers(SchedulerSimulation.servers(servers, slotsPerServer), 0);
        Random random = new Random(seed);
        CostHint commonHint = longIsRare ? CostHint.SHORT : CostHint.LONG;
        CostHint rareHint = longIsRare ? CostHint.LONG : CostHint.SHORT;
        Map<Long, Long> endMillisByLease = new HashMap<>();
        long rareTicketId = -1;
        boolean rareGranted = false;
        for (long nowMillis = 0; nowMillis < 30_000 && !rareGranted; nowMillis += 5) {
            long releaseMillis = nowMillis;
            endMillisByLease.entrySet().stream()
                    .filter(leaseEnd -> leaseEnd.getValue() <= releaseMillis)
                    .toList()
                    .forEach(leaseEnd -> {
                        scheduler.completeLease(
                                leaseEnd.getKey(),
                                AttemptOutcome.ANSWERED,
                                longIsRare ? 20_000 : 400_000,
                                releaseMillis);
                        endMillisByLease.remove(leaseEnd.getKey());
                    });
            List<TicketDecision> decisions = new ArrayList<>(scheduler.advance(nowMillis));
            for (int i = 0; i < 3; i++) {
                SlotDecision decision = scheduler.acquire(request("common", commonHint, 20_000, random), nowMillis);
                decisions.add(new TicketDecision(decision instanceof Queued(long ticketId) ? ticketId : 0, decision));
            }
            if (nowMillis == 2_000) {
                SlotDecision decision = scheduler.acquire(request("rare", rareHint, 20_000, random), nowMillis);
                rareTicketId = decision instanceof Queued(long ticketId) ? ticketId : 0;
                rareGranted = decision instanceof Granted;
            } else if (rareTicketId > 0) {
                scheduler.renewTicket(rareTicketId, nowMillis);
            }
            for (TicketDecision decided : decisions) {
                if (decided.decision() instanceof Granted granted) {
                    endMillisByLease.put(granted.leaseId(), nowMillis + (longIsRare ? 20 : 400));
                    rareGranted |= decided.ticketId() == rareTicketId && rareTicketId > 0;
                }
            }
        }
        assertThat(rareGranted).isTrue();
    }

    private static AdmissionRequest request(String route, CostHint costHint, long remainingMillis, Random random) {
        return AdmissionRequest.forFirstAttempt(
                "entry-" + random.nextInt(3),
                route,
                route,
                "customer-" + random.nextInt(5),
                costHint,
                random.nextBoolean(),
                remainingMillis,
                Set.of(),
                Map.of());
    }

    /** Random operations on a scheduler, checked against a model of its servers, leases and queued requests. */
    private static final class RandomOperations {
        private static final int SERVERS = 5;

        private final SlotScheduler scheduler;
        private final Random random;
        private final Map<String, SchedulableServer> servers = new HashMap<>();
        private final Map<Long, HeldLease> heldLeases = new HashMap<>();
        private final Map<Long, AdmissionRequest> queuedRequests = new HashMap<>();
        private final Map<Long, Long> deadlinesMillis = new HashMap<>();
        private final Map<String, Long> lastLeaseIdBeforeProbation = new HashMap<>();
        private final Map<String, TreeMap<Long, Long>> grantMillisByServer = new HashMap<>();
        private long lastLeaseId;
        private long nowMillis = 1_000;

        private RandomOperations(SchedulerSettings settings, long seed) {
            scheduler = SlotScheduler.create(settings);
            random = new Random(seed);
            updateServers();
        }

        private void performRandomOperation() {
            nowMillis += random.nextInt(4) == 0 ? random.nextInt(120) : 0;
            heldLeases.values().removeIf(lease -> lease.expiresAtMillis <= nowMillis);
            switch (random.nextInt(12)) {
                case 0 -> updateServers();
                case 1 -> {
                    String entryProxy = "entry-" + random.nextInt(3);
                    scheduler.removeEntryProxy(entryProxy, nowMillis);
                    heldLeases
                            .values()
                            .removeIf(lease -> lease.request.entryProxy().equals(entryProxy));
                }
                case 2 ->
                    randomElement(new ArrayList<>(queuedRequests.keySet())).forEach(ticketId -> {
                        scheduler.cancel(ticketId, nowMillis);
                        queuedRequests.remove(ticketId);
                    });
                case 3, 4 ->
                    randomElement(new ArrayList<>(queuedRequests.keySet())).forEach(ticketId -> scheduler
                            .renewTicket(ticketId, nowMillis)
                            .ifPresent(decision -> checkDecision(ticketId, decision)));
                case 5, 6, 7 ->
                    randomElement(new ArrayList<>(heldLeases.keySet())).forEach(leaseId -> {
                        AttemptOutcome outcome =
                                AttemptOutcome.values()[random.nextInt(AttemptOutcome.values().length)];
                        HeldLease heldLease = heldLeases.remove(leaseId);
                        assertThat(scheduler.completeLease(leaseId, outcome, 1_000L * random.nextInt(300), nowMillis))
                                .hasValueSatisfying(completed -> assertThat(completed)
                                        .isEqualTo(new CompletedLease(
                                                heldLease.serverName,
                                                heldLease.request.route(),
                                                heldLease.request.entryProxy(),
                                                heldLease.request.digest(),
                                                heldLease.grantedAtMillis,
                                                heldLease.request.repeatable(),
                                                completed.suspectTest())));
                        assertThat(scheduler.completeLease(leaseId, outcome, 0, nowMillis))
                                .isEmpty();
                    });
                default -> acquireSlot();
            }
            scheduler.advance(nowMillis).forEach(decided -> checkDecision(decided.ticketId(), decided.decision()));
            assertThat(scheduler.inFlightAttempts(nowMillis)).hasSameSizeAs(heldLeases.values());
        }

        private void checkThatAllRequestsEnd() {
            for (int i = 0; i < 600; i++) {
                nowMillis += 10;
                heldLeases.values().removeIf(lease -> lease.expiresAtMillis <= nowMillis);
                scheduler.advance(nowMillis).forEach(decided -> checkDecision(decided.ticketId(), decided.decision()));
            }
            assertThat(queuedRequests).as("queued requests without a decision").isEmpty();
            assertThat(heldLeases).isEmpty();
            assertThat(scheduler.inFlightAttempts(nowMillis)).isEmpty();
            scheduler.replaceServers(List.of(server(0, 1, ServerHealth.HEALTHY, false)), nowMillis);
            assertThat(scheduler.acquire(SchedulerSimulation.request("new", "customer", 1_000), nowMillis))
                    .isInstanceOf(Granted.class);
        }

        private void acquireSlot() {
            Set<String> excludedServers =
                    random.nextInt(4) == 0 ? Set.of("server-" + random.nextInt(SERVERS)) : Set.of();
            AdmissionRequest request = AdmissionRequest.forFirstAttempt(
                    "entry-" + random.nextInt(3),
                    "selector",
                    "route-" + random.nextInt(4),
                    "customer-" + random.nextInt(4),
                    CostHint.values()[random.nextInt(3)],
                    random.nextBoolean(),
                    random.nextInt(2_000),
                    excludedServers,
                    random.nextInt(4) == 0 ? Map.of("zone", "a") : Map.of());
            SlotDecision decision = scheduler.acquire(request, nowMillis);
            if (decision instanceof Queued(long ticketId)) {
                assertThat(queuedRequests.put(ticketId, request)).isNull();
                deadlinesMillis.put(ticketId, nowMillis + request.remainingMillis());
            } else if (decision instanceof Granted granted) {
                checkGrant(request, granted);
            }
        }

        private void checkDecision(long ticketId, SlotDecision decision) {
            AdmissionRequest request = queuedRequests.remove(ticketId);
            assertThat(request).as("second decision for a ticket").isNotNull();
            assertThat(decision).isNotInstanceOf(Queued.class);
            if (decision instanceof Granted granted) {
                assertThat(nowMillis).isLessThanOrEqualTo(deadlinesMillis.get(ticketId));
                checkGrant(request, granted);
            }
        }

        private void checkGrant(AdmissionRequest request, Granted granted) {
            SchedulableServer server = servers.get(granted.serverName());
            assertThat(server).as("server of a grant").isNotNull();
            assertThat(server.leaving()).isFalse();
            assertThat(server.health()).isNotEqualTo(ServerHealth.EJECTED);
            assertThat(request.excludedServers()).doesNotContain(server.name());
            assertThat(server.labels()).containsAllEntriesOf(request.requiredLabels());
            lastLeaseId = Math.max(lastLeaseId, granted.leaseId());
            grantMillisByServer
                    .computeIfAbsent(server.name(), name -> new TreeMap<>())
                    .put(granted.leaseId(), nowMillis);
            long leases = heldLeases.values().stream()
                    .filter(lease -> lease.serverName.equals(server.name()))
                    .count();
            if (server.health() == ServerHealth.PROBATION) {
                checkTrial(request, server, granted.leaseId());
                assertThat(request.repeatable()
                                || servers.values().stream().noneMatch(other -> isHealthyAndMatching(other, request)))
                        .isTrue();
            }
            assertThat(leases).isLessThan(server.slots());
            heldLeases.put(
                    granted.leaseId(),
                    new HeldLease(server.name(), request, nowMillis, nowMillis + granted.leaseDurationMillis()));
        }

        /**
         * Requests from before the probation are no trials; a slow trial, or a queue, allows further ones. The numbers
         * of leases give the order of the grants.
         */
        private void checkTrial(AdmissionRequest request, SchedulableServer server, long leaseId) {
            long lastLeaseIdBefore = lastLeaseIdBeforeProbation.get(server.name());
            long trials = heldLeases.entrySet().stream()
                    .filter(held -> held.getValue().serverName.equals(server.name())
                            && held.getKey() > lastLeaseIdBefore
                            && held.getKey() < leaseId)
                    .count();
            Map.Entry<Long, Long> previousGrant =
                    grantMillisByServer.get(server.name()).lowerEntry(leaseId);
            boolean isLatestTrialSlow = previousGrant == null || previousGrant.getValue() <= nowMillis - 1_000;
            assertThat(trials == 0 || request.repeatable() && (isLatestTrialSlow || trials < 3))
                    .isTrue();
        }

        private static boolean isHealthyAndMatching(SchedulableServer server, AdmissionRequest request) {
            return server.health() == ServerHealth.HEALTHY
                    && !server.leaving()
                    && !request.excludedServers().contains(server.name())
                    && server.labels()
                            .entrySet()
                            .containsAll(request.requiredLabels().entrySet());
        }

        private void updateServers() {
            Map<String, SchedulableServer> formerServers = Map.copyOf(servers);
            servers.clear();
            for (int i = 0; i < SERVERS; i++) {
                if (random.nextInt(6) > 0) {
                    ServerHealth health = ServerHealth.values()[Math.max(0, random.nextInt(6) - 3)];
                    SchedulableServer server = server(i, 1 + random.nextInt(3), health, random.nextInt(6) == 0);
                    servers.put(server.name(), server);
                    SchedulableServer former = formerServers.get(server.name());
                    if (former == null || former.health() != ServerHealth.PROBATION) {
                        lastLeaseIdBeforeProbation.put(server.name(), lastLeaseId);
                    }
                }
            }
            scheduler.replaceServers(List.copyOf(servers.values()), nowMillis);
        }

        private static SchedulableServer server(int number, int slotsPerServer, ServerHealth health, boolean leaving) {
            return SchedulableServer.of(
                    "server-" + number,
                    "127.0.0.1:" + (20_000 + number),
                    slotsPerServer,
                    health,
                    leaving,
                    Map.of("zone", number % 2 == 0 ? "a" : "b"));
        }

        private List<Long> randomElement(List<Long> numbers) {
            return numbers.isEmpty() ? List.of() : List.of(numbers.get(random.nextInt(numbers.size())));
        }

        private record HeldLease(
                String serverName, AdmissionRequest request, long grantedAtMillis, long expiresAtMillis) {}
    }
}
