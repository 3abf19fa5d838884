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
import org.cassiabank.health.Outcome;
import org.cassiabank.health.ServerHealth;

/** Guards against broken promises of the scheduler under random sequences of operations. */
class SlotSchedulerPropertiesTest {

    @Property(tries = 300)
    void randomOperationsKeepAllPromises(@ForAll long seed, @ForAll boolean separate, @ForAll boolean predict) {
        RandomOperations operations = new RandomOperations(
                SchedulerSettings.defaults().withSeparateClasses(separate).withPredictWait(predict), seed);
        for (int i = 0; i < 400; i++) {
            operations.step();
        }
        operations.end();
    }

    @Property(tries = 50)
    void backloggedCallersGetEqualWork(@ForAll long seed, @ForAll @IntRange(min = 2, max = 6) int callers) {
        SlotScheduler scheduler =
                SlotScheduler.create(SchedulerSettings.defaults().withPredictWait(false));
        scheduler.updateServers(SchedulerSimulation.servers(2, 2), 0);
        Random random = new Random(seed);
        long[] micros = random.longs(callers, 5_000, 30_000).toArray();
        long now = 0;
        for (int i = 0; i < callers; i++) {
            Granted granted = (Granted) scheduler.offer(SchedulerSimulation.ask("route-" + i, "learn", 100_000), now);
            scheduler.finish(granted.lease(), Outcome.ANSWERED, micros[i], now);
        }
        Map<Long, Integer> callerOf = new HashMap<>();
        List<Granted> running = new ArrayList<>();
        for (int i = 0; i < callers * 200; i++) {
            int caller = i / 200;
            SlotDecision decision =
                    scheduler.offer(SchedulerSimulation.ask("route-" + caller, "caller-" + caller, 100_000), now);
            if (decision instanceof Queued queued) {
                callerOf.put(queued.ticket(), caller);
            } else {
                running.add((Granted) decision);
            }
        }
        long[] work = new long[callers];
        for (int i = 0; i < 200; i++) {
            running.forEach(granted -> scheduler.finish(granted.lease(), Outcome.CANCELLED, 0, 0));
            running.clear();
            for (TicketDecision decided : scheduler.advance(now)) {
                running.add((Granted) decided.decision());
                int caller = callerOf.get(decided.ticket());
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
        scheduler.updateServers(SchedulerSimulation.servers(1, 2), 0);
        List<Granted> running = new ArrayList<>();
        for (int i = 0; i < 10_000; i++) {
            if (scheduler.offer(SchedulerSimulation.ask("menu", "many", 100_000), 0) instanceof Granted granted) {
                running.add(granted);
            }
        }
        for (int i = 0; i < served; i++) {
            scheduler.finish(running.removeFirst().lease(), Outcome.ANSWERED, 20_000, 0);
            scheduler.advance(0).forEach(decided -> running.add((Granted) decided.decision()));
        }
        Set<Long> tickets = new HashSet<>();
        Queued first = (Queued) scheduler.offer(SchedulerSimulation.ask("menu", "one", 100_000), 0);
        scheduler.finish(running.removeFirst().lease(), Outcome.ANSWERED, 20_000, 0);
        List<TicketDecision> decisions = scheduler.advance(0);
        assertThat(decisions).extracting(TicketDecision::ticket).containsExactly(first.ticket());
        running.add((Granted) decisions.getFirst().decision());
        for (int i = 0; i < 50; i++) {
            tickets.add(((Queued) scheduler.offer(SchedulerSimulation.ask("menu", "one", 100_000), 0)).ticket());
        }
        // An idle caller accumulates no credit, so that the two callers take turns from now on.
        List<Long> next = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            scheduler.finish(running.removeFirst().lease(), Outcome.ANSWERED, 20_000, 0);
            scheduler.advance(0).forEach(decided -> {
                running.add((Granted) decided.decision());
                next.add(decided.ticket());
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
        scheduler.updateServers(SchedulerSimulation.servers(servers, slots), 0);
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
                        scheduler.finish(entry.getKey(), Outcome.ANSWERED, longIsRare ? 20_000 : 400_000, time);
                        endOf.remove(entry.getKey());
                    });
            List<TicketDecision> decisions = new ArrayList<>(scheduler.advance(now));
            for (int i = 0; i < 3; i++) {
                SlotDecision decision = scheduler.offer(ask("common", common, 20_000, random), now);
                decisions.add(new TicketDecision(decision instanceof Queued(long ticket) ? ticket : 0, decision));
            }
            if (now == 2_000) {
                SlotDecision decision = scheduler.offer(ask("rare", rare, 20_000, random), now);
                rareTicket = decision instanceof Queued(long ticket) ? ticket : 0;
                done = decision instanceof Granted;
            } else if (rareTicket > 0) {
                scheduler.renew(rareTicket, now);
            }
            for (TicketDecision decided : decisions) {
                if (decided.decision() instanceof Granted granted) {
                    endOf.put(granted.lease(), now + (longIsRare ? 20 : 400));
                    done |= decided.ticket() == rareTicket && rareTicket > 0;
                }
            }
        }
        assertThat(done).isTrue();
    }

    private static SlotAsk ask(String route, CostHint cost, long remaining, Random random) {
        return SlotAsk.first(
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
        private final Map<String, ServerCapacity> servers = new HashMap<>();
        private final Map<Long, Held> held = new HashMap<>();
        private final Map<Long, SlotAsk> asks = new HashMap<>();
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
                    scheduler.loseEntry(entry, now);
                    held.values().removeIf(lease -> lease.ask.entry().equals(entry));
                }
                case 2 ->
                    any(new ArrayList<>(asks.keySet())).forEach(ticket -> {
                        scheduler.cancel(ticket, now);
                        asks.remove(ticket);
                    });
                case 3, 4 ->
                    any(new ArrayList<>(asks.keySet()))
                            .forEach(ticket ->
                                    scheduler.renew(ticket, now).ifPresent(decision -> decide(ticket, decision)));
                case 5, 6, 7 ->
                    any(new ArrayList<>(held.keySet())).forEach(lease -> {
                        Outcome outcome = Outcome.values()[random.nextInt(Outcome.values().length)];
                        Held ended = held.remove(lease);
                        assertThat(scheduler.finish(lease, outcome, 1_000L * random.nextInt(300), now))
                                .contains(new FinishedLease(ended.server, ended.ask.route()));
                        assertThat(scheduler.finish(lease, outcome, 0, now)).isEmpty();
                    });
                default -> offer();
            }
            scheduler.advance(now).forEach(decided -> decide(decided.ticket(), decided.decision()));
            assertThat(scheduler.inFlight(now)).hasSameSizeAs(held.values());
        }

        private void end() {
            for (int i = 0; i < 600; i++) {
                now += 10;
                held.values().removeIf(lease -> lease.expiresAt <= now);
                scheduler.advance(now).forEach(decided -> decide(decided.ticket(), decided.decision()));
            }
            assertThat(asks).as("offers without a decision").isEmpty();
            assertThat(held).isEmpty();
            assertThat(scheduler.inFlight(now)).isEmpty();
            scheduler.updateServers(List.of(server(0, 1, ServerHealth.HEALTHY, false)), now);
            assertThat(scheduler.offer(SchedulerSimulation.ask("new", "caller", 1_000), now))
                    .isInstanceOf(Granted.class);
        }

        private void offer() {
            Set<String> excluded = random.nextInt(4) == 0 ? Set.of("server-" + random.nextInt(SERVERS)) : Set.of();
            SlotAsk ask = SlotAsk.first(
                    "entry-" + random.nextInt(3),
                    "selector",
                    "route-" + random.nextInt(4),
                    "caller-" + random.nextInt(4),
                    CostHint.values()[random.nextInt(3)],
                    random.nextBoolean(),
                    random.nextInt(2_000),
                    excluded,
                    random.nextInt(4) == 0 ? Map.of("zone", "a") : Map.of());
            SlotDecision decision = scheduler.offer(ask, now);
            if (decision instanceof Queued(long ticket)) {
                assertThat(asks.put(ticket, ask)).isNull();
                deadlines.put(ticket, now + ask.remainingMillis());
            } else if (decision instanceof Granted granted) {
                grant(ask, granted);
            }
        }

        private void decide(long ticket, SlotDecision decision) {
            SlotAsk ask = asks.remove(ticket);
            assertThat(ask).as("second decision for a ticket").isNotNull();
            assertThat(decision).isNotInstanceOf(Queued.class);
            if (decision instanceof Granted granted) {
                assertThat(now).isLessThanOrEqualTo(deadlines.get(ticket));
                grant(ask, granted);
            }
        }

        private void grant(SlotAsk ask, Granted granted) {
            ServerCapacity server = servers.get(granted.server());
            assertThat(server).as("server of a grant").isNotNull();
            assertThat(server.leaving()).isFalse();
            assertThat(server.health()).isNotEqualTo(ServerHealth.EJECTED);
            assertThat(ask.excluded()).doesNotContain(server.name());
            assertThat(server.labels()).containsAllEntriesOf(ask.servers());
            long leases = held.values().stream()
                    .filter(lease -> lease.server.equals(server.name()))
                    .count();
            if (server.health() == ServerHealth.PROBATION) {
                assertThat(leases).isZero();
                assertThat(ask.repeatable() || servers.values().stream().noneMatch(other -> canTake(other, ask)))
                        .isTrue();
            }
            assertThat(leases).isLessThan(server.slots());
            held.put(granted.lease(), new Held(server.name(), ask, now + granted.leaseMillis()));
        }

        private static boolean canTake(ServerCapacity server, SlotAsk ask) {
            return server.health() == ServerHealth.HEALTHY
                    && !server.leaving()
                    && !ask.excluded().contains(server.name())
                    && server.labels().entrySet().containsAll(ask.servers().entrySet());
        }

        private void updateServers() {
            servers.clear();
            for (int i = 0; i < SERVERS; i++) {
                if (random.nextInt(6) > 0) {
                    ServerHealth health = ServerHealth.values()[Math.max(0, random.nextInt(6) - 3)];
                    ServerCapacity server = server(i, 1 + random.nextInt(3), health, random.nextInt(6) == 0);
                    servers.put(server.name(), server);
                }
            }
            scheduler.updateServers(List.copyOf(servers.values()), now);
        }

        private static ServerCapacity server(int number, int slots, ServerHealth health, boolean leaving) {
            return ServerCapacity.of(
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

        private record Held(String server, SlotAsk ask, long expiresAt) {}
    }
}
