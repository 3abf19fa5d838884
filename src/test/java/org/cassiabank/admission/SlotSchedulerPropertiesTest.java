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
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.cassiabank.declaration.CostHint;
import org.cassiabank.health.AttemptOutcome;
import org.cassiabank.health.ServerHealth;

/** Guards against broken promises of the scheduler under random sequences of operations. */
class SlotSchedulerPropertiesTest {

    @Property(tries = 300)
    void randomOperationsKeepAllPromises(@ForAll long seed, @ForAll boolean separate, @ForAll boolean predict) {
        RandomOperations operations = new RandomOperations(
                SchedulerSettings.defaults().withSeparateLongWork(separate).withPredictWait(predict), seed);
        for (int i = 0; i < 400; i++) {
            operations.step();
        }
        operations.end();
    }

    @Property(tries = 50)
    void backloggedCallersGetEqualWork(@ForAll long seed, @ForAll @IntRange(min = 2, max = 6) int callers) {
        SlotScheduler scheduler =
                SlotScheduler.create(SchedulerSettings.defaults().withPredictWait(false));
        scheduler.replaceServers(SchedulerSimulation.servers(2, 2), 0);
        Random random = new Random(seed);
        long[] micros = random.longs(callers, 5_000, 30_000).toArray();
        long now = 0;
        for (int i = 0; i < callers; i++) {
            Granted granted =
                    (Granted) scheduler.acquire(SchedulerSimulation.request("route-" + i, "learn", 100_000), now);
            scheduler.completeLease(granted.leaseId(), AttemptOutcome.ANSWERED, micros[i], now);
        }
        Map<Long, Integer> callerOf = new HashMap<>();
        List<Granted> running = new ArrayList<>();
        for (int i = 0; i < callers * 200; i++) {
            int caller = i / 200;
            SlotDecision decision =
                    scheduler.acquire(SchedulerSimulation.request("route-" + caller, "caller-" + caller, 100_000), now);
            if (decision instanceof Queued queued) {
                callerOf.put(queued.ticketId(), caller);
            } else {
                running.add((Granted) decision);
            }
        }
        long[] work = new long[callers];
        for (int i = 0; i < 200; i++) {
            running.forEach(granted -> scheduler.completeLease(granted.leaseId(), AttemptOutcome.CANCELLED, 0, 0));
            running.clear();
            for (TicketDecision decided : scheduler.advance(now)) {
                running.add((Granted) decided.decision());
                int caller = callerOf.get(decided.ticketId());
                work[caller] += micros[caller];
            }
            long least = Arrays.stream(work).min().orElseThrow();
            long most = Arrays.stream(work).max().orElseThrow();
            if (most / 5_000 > 190) {
                return;
            }
            // Caller 0 also had the four slots that were free at the start.
            assertThat(most - least).isLessThanOrEqualTo(6 * 30_000);
        }
    }

    @Property(tries = 30)
    void callerWithOneRequestIsNotDelayedByOneWithTenThousand(@ForAll @IntRange(min = 0, max = 9_000) int served) {
        SchedulerSettings defaults = SchedulerSettings.defaults();
        SlotScheduler scheduler = SlotScheduler.create(new SchedulerSettings(
                true,
                false,
                30_000,
                500,
                10_000,
                0.5,
                2000,
                defaults.ticketMillis(),
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
        for (int i = 0; i < served; i++) {
            scheduler.completeLease(running.removeFirst().leaseId(), AttemptOutcome.ANSWERED, 20_000, 0);
            scheduler.advance(0).forEach(decided -> running.add((Granted) decided.decision()));
        }
        Set<Long> tickets = new HashSet<>();
        Queued first = (Queued) scheduler.acquire(SchedulerSimulation.request("menu", "one", 100_000), 0);
        scheduler.completeLease(running.removeFirst().leaseId(), AttemptOutcome.ANSWERED, 20_000, 0);
        List<TicketDecision> decisions = scheduler.advance(0);
        assertThat(decisions).extracting(TicketDecision::ticketId).containsExactly(first.ticketId());
        running.add((Granted) decisions.getFirst().decision());
        for (int i = 0; i < 50; i++) {
            tickets.add(
                    ((Queued) scheduler.acquire(SchedulerSimulation.request("menu", "one", 100_000), 0)).ticketId());
        }
        // An idle caller accumulates no credit, so that the two callers take turns from now on.
        List<Long> next = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            scheduler.completeLease(running.removeFirst().leaseId(), AttemptOutcome.ANSWERED, 20_000, 0);
            scheduler.advance(0).forEach(decided -> {
                running.add((Granted) decided.decision());
                next.add(decided.ticketId());
            });
        }
        assertThat(next).filteredOn(tickets::contains).hasSizeBetween(9, 11);
    }

    @Property(tries = 40)
    void neitherClassStarvesUnderAnEndlessSupplyOfTheOther(
            @ForAll @IntRange(min = 1, max = 8) int servers,
            @ForAll @IntRange(min = 1, max = 6) int slots,
            @ForAll boolean longIsRare,
            @ForAll long seed) {
        SlotScheduler scheduler = SlotScheduler.create(SchedulerSettings.defaults());
        scheduler.replaceServers(SchedulerSimulation.servers(servers, slots), 0);
        Random random = new Random(seed);
        CostHint common = longIsRare ? CostHint.SHORT : CostHint.LONG;
        CostHint rare = longIsRare ? CostHint.LONG : CostHint.SHORT;
        Map<Long, Long> endOf = new HashMap<>();
        long rareTicket = -1;
        boolean done = false;
        for (long now = 0; now < 30_000 && !done; now += 5) {
            long time = now;
            endOf.entrySet().stream()
                    .filter(entry -> entry.getValue() <= time)
                    .toList()
                    .forEach(entry -> {
                        scheduler.completeLease(
                                entry.getKey(), AttemptOutcome.ANSWERED, longIsRare ? 20_000 : 400_000, time);
                        endOf.remove(entry.getKey());
                    });
            List<TicketDecision> decisions = new ArrayList<>(scheduler.advance(now));
            for (int i = 0; i < 3; i++) {
                SlotDecision decision = scheduler.acquire(request("common", common, 20_000, random), now);
                decisions.add(new TicketDecision(decision instanceof Queued(long ticket) ? ticket : 0, decision));
            }
            if (now == 2_000) {
                SlotDecision decision = scheduler.acquire(request("rare", rare, 20_000, random), now);
                rareTicket = decision instanceof Queued(long ticket) ? ticket : 0;
                done = decision instanceof Granted;
            } else if (rareTicket > 0) {
                scheduler.renewTicket(rareTicket, now);
            }
            for (TicketDecision decided : decisions) {
                if (decided.decision() instanceof Granted granted) {
                    endOf.put(granted.leaseId(), now + (longIsRare ? 20 : 400));
                    done |= decided.ticketId() == rareTicket && rareTicket > 0;
                }
            }
        }
        assertThat(done).isTrue();
    }

    private static AdmissionRequest request(String route, CostHint cost, long remaining, Random random) {
        return AdmissionRequest.forFirstAttempt(
                "entry-" + random.nextInt(3),
                route,
                route,
                "caller-" + random.nextInt(5),
                cost,
                random.nextBoolean(),
                remaining,
                Set.of(),
                Map.of());
    }

    /** Random operations on a scheduler, checked against a model of its leases. */
    private static final class RandomOperations {
        private static final int SERVERS = 5;

        private final SlotScheduler scheduler;
        private final Random random;
        private final Map<String, SchedulableServer> servers = new HashMap<>();
        private final Map<Long, Held> held = new HashMap<>();
        private final Map<Long, AdmissionRequest> asks = new HashMap<>();
        private final Map<Long, Long> deadlines = new HashMap<>();
        private long now = 1_000;

        private RandomOperations(SchedulerSettings settings, long seed) {
            scheduler = SlotScheduler.create(settings);
            random = new Random(seed);
            updateServers();
        }

        private void step() {
            now += random.nextInt(4) == 0 ? random.nextInt(120) : 0;
            held.values().removeIf(lease -> lease.expiresAt <= now);
            switch (random.nextInt(12)) {
                case 0 -> updateServers();
                case 1 -> {
                    String entry = "entry-" + random.nextInt(3);
                    scheduler.removeEntryProxy(entry, now);
                    held.values().removeIf(lease -> lease.request.entryProxy().equals(entry));
                }
                case 2 ->
                    any(new ArrayList<>(asks.keySet())).forEach(ticket -> {
                        scheduler.cancel(ticket, now);
                        asks.remove(ticket);
                    });
                case 3, 4 ->
                    any(new ArrayList<>(asks.keySet()))
                            .forEach(ticket ->
                                    scheduler.renewTicket(ticket, now).ifPresent(decision -> decide(ticket, decision)));
                case 5, 6, 7 ->
                    any(new ArrayList<>(held.keySet())).forEach(lease -> {
                        AttemptOutcome outcome =
                                AttemptOutcome.values()[random.nextInt(AttemptOutcome.values().length)];
                        Held ended = held.remove(lease);
                        assertThat(scheduler.completeLease(lease, outcome, 1_000L * random.nextInt(300), now))
                                .contains(new CompletedLease(ended.server, ended.request.route()));
                        assertThat(scheduler.completeLease(lease, outcome, 0, now))
                                .isEmpty();
                    });
                default -> offer();
            }
            scheduler.advance(now).forEach(decided -> decide(decided.ticketId(), decided.decision()));
            assertThat(scheduler.inFlightAttempts(now)).hasSameSizeAs(held.values());
        }

        private void end() {
            for (int i = 0; i < 600; i++) {
                now += 10;
                held.values().removeIf(lease -> lease.expiresAt <= now);
                scheduler.advance(now).forEach(decided -> decide(decided.ticketId(), decided.decision()));
            }
            assertThat(asks).as("offers without a decision").isEmpty();
            assertThat(held).isEmpty();
            assertThat(scheduler.inFlightAttempts(now)).isEmpty();
            scheduler.replaceServers(List.of(server(0, 1, ServerHealth.HEALTHY, false)), now);
            assertThat(scheduler.acquire(SchedulerSimulation.request("new", "caller", 1_000), now))
                    .isInstanceOf(Granted.class);
        }

        private void offer() {
            Set<String> excluded = random.nextInt(4) == 0 ? Set.of("server-" + random.nextInt(SERVERS)) : Set.of();
            AdmissionRequest request = AdmissionRequest.forFirstAttempt(
                    "entry-" + random.nextInt(3),
                    "selector",
                    "route-" + random.nextInt(4),
                    "caller-" + random.nextInt(4),
                    CostHint.values()[random.nextInt(3)],
                    random.nextBoolean(),
                    random.nextInt(2_000),
                    excluded,
                    random.nextInt(4) == 0 ? Map.of("zone", "a") : Map.of());
            SlotDecision decision = scheduler.acquire(request, now);
            if (decision instanceof Queued(long ticket)) {
                assertThat(asks.put(ticket, request)).isNull();
                deadlines.put(ticket, now + request.remainingMillis());
            } else if (decision instanceof Granted granted) {
                grant(request, granted);
            }
        }

        private void decide(long ticket, SlotDecision decision) {
            AdmissionRequest request = asks.remove(ticket);
            assertThat(request).as("second decision for a ticket").isNotNull();
            assertThat(decision).isNotInstanceOf(Queued.class);
            if (decision instanceof Granted granted) {
                assertThat(now).isLessThanOrEqualTo(deadlines.get(ticket));
                grant(request, granted);
            }
        }

        private void grant(AdmissionRequest request, Granted granted) {
            SchedulableServer server = servers.get(granted.serverName());
            assertThat(server).as("server of a grant").isNotNull();
            assertThat(server.leaving()).isFalse();
            assertThat(server.health()).isNotEqualTo(ServerHealth.EJECTED);
            assertThat(request.excludedServers()).doesNotContain(server.name());
            assertThat(server.labels()).containsAllEntriesOf(request.requiredLabels());
            long leases = held.values().stream()
                    .filter(lease -> lease.server.equals(server.name()))
                    .count();
            if (server.health() == ServerHealth.PROBATION) {
                assertThat(leases).isZero();
                assertThat(request.repeatable()
                                || servers.values().stream().noneMatch(other -> canTake(other, request)))
                        .isTrue();
            }
            assertThat(leases).isLessThan(server.slots());
            held.put(granted.leaseId(), new Held(server.name(), request, now + granted.leaseDurationMillis()));
        }

        private static boolean canTake(SchedulableServer server, AdmissionRequest request) {
            return server.health() == ServerHealth.HEALTHY
                    && !server.leaving()
                    && !request.excludedServers().contains(server.name())
                    && server.labels()
                            .entrySet()
                            .containsAll(request.requiredLabels().entrySet());
        }

        private void updateServers() {
            servers.clear();
            for (int i = 0; i < SERVERS; i++) {
                if (random.nextInt(6) > 0) {
                    ServerHealth health = ServerHealth.values()[Math.max(0, random.nextInt(6) - 3)];
                    SchedulableServer server = server(i, 1 + random.nextInt(3), health, random.nextInt(6) == 0);
                    servers.put(server.name(), server);
                }
            }
            scheduler.replaceServers(List.copyOf(servers.values()), now);
        }

        private static SchedulableServer server(int number, int slots, ServerHealth health, boolean leaving) {
            return SchedulableServer.of(
                    "server-" + number,
                    "127.0.0.1:" + (20_000 + number),
                    slots,
                    health,
                    leaving,
                    Map.of("zone", number % 2 == 0 ? "a" : "b"));
        }

        private List<Long> any(List<Long> numbers) {
            return numbers.isEmpty() ? List.of() : List.of(numbers.get(random.nextInt(numbers.size())));
        }

        private record Held(String server, AdmissionRequest request, long expiresAt) {}
    }
}
