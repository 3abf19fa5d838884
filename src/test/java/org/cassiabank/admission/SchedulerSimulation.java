package org.cassiabank.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.DoubleUnaryOperator;
import java.util.stream.IntStream;
import org.cassiabank.declaration.CostHint;
import org.cassiabank.health.AttemptOutcome;
import org.cassiabank.health.ServerHealth;

/** An event loop in virtual time that sends seeded arrivals through a scheduler to servers, some of which may fail. */
final class SchedulerSimulation {
    private static final double FAST_FAILURE_MILLIS = 10;

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingDouble(Event::time).thenComparingLong(Event::order));
    private final Map<Long, Arrival> waiting = new HashMap<>();
    private final List<Arrival> arrivals = new ArrayList<>();
    private final SlotScheduler scheduler;
    private final Random random;
    private double hopMillis;
    private int urgency;
    private Set<String> excluded = Set.of();
    private final Map<String, Double> failing = new HashMap<>();
    private boolean repeatable = true;
    private double now;
    private long order;

    private SchedulerSimulation(SchedulerSettings settings, int servers, int slots, long seed) {
        scheduler = SlotScheduler.create(settings);
        scheduler.replaceServers(servers(servers, slots), 0);
        random = new Random(seed);
    }

    static SchedulerSimulation create(SchedulerSettings settings, int servers, int slots, long seed) {
        return new SchedulerSimulation(settings, servers, slots, seed);
    }

    /** Sets the time of one message between the owner, an entry proxy and a server. */
    SchedulerSimulation hop(double millis) {
        hopMillis = millis;
        return this;
    }

    /** Sets the urgency and the excluded servers of the loads that are added next. */
    SchedulerSimulation next(int newUrgency, Set<String> newExcluded) {
        urgency = newUrgency;
        excluded = newExcluded;
        return this;
    }

    /** Lets a server fail a share of its requests at once. */
    SchedulerSimulation failing(String server, double share) {
        failing.put(server, share);
        return this;
    }

    /** Makes the loads that are added next unrepeatable. */
    SchedulerSimulation unrepeatable() {
        repeatable = false;
        return this;
    }

    static List<SchedulableServer> servers(int count, int slots) {
        return IntStream.range(0, count)
                .mapToObj(i -> SchedulableServer.of(
                        "server-" + i, "127.0.0.1:" + (20_000 + i), slots, ServerHealth.HEALTHY, false, Map.of()))
                .toList();
    }

    static AdmissionRequest request(String route, String caller, long remainingMillis) {
        return request(route, caller, remainingMillis, Set.of(), true);
    }

    private static AdmissionRequest request(
            String route, String caller, long remainingMillis, Set<String> excluded, boolean repeatable) {
        return AdmissionRequest.forFirstAttempt(
                "entry", route, route, caller, CostHint.LEARNED, repeatable, remainingMillis, excluded, Map.of());
    }

    /** Adds Poisson arrivals; the service times are uniform between half and one and a half times the mean. */
    SchedulerSimulation load(
            String route, double meanMillis, int callers, long deadline, double until, DoubleUnaryOperator perSecond) {
        double highest = IntStream.rangeClosed(0, 1000)
                .mapToDouble(i -> perSecond.applyAsDouble(until * i / 1000))
                .max()
                .orElseThrow();
        double time = 0;
        while (true) {
            time -= Math.log(1 - random.nextDouble()) * 1000 / highest;
            if (time >= until) {
                return this;
            }
            if (random.nextDouble() * highest < perSecond.applyAsDouble(time)) {
                Arrival arrival = new Arrival(
                        request(route, "caller-" + random.nextInt(callers), deadline, excluded, repeatable)
                                .withUrgencyRank(urgency),
                        time,
                        meanMillis * (0.5 + random.nextDouble()));
                arrivals.add(arrival);
                at(time, () -> handle(arrival, scheduler.acquire(arrival.request, (long) now)));
            }
        }
    }

    /** Runs until nothing is left to do. */
    SchedulerSimulation run() {
        while (!events.isEmpty()) {
            Event event = events.remove();
            now = event.time();
            event.action().run();
            for (TicketDecision decided : scheduler.advance((long) now)) {
                handle(waiting.remove(decided.ticketId()), decided.decision());
            }
        }
        return this;
    }

    List<Arrival> between(String route, double from, double until) {
        return arrivals.stream()
                .filter(arrival ->
                        arrival.request.route().equals(route) && arrival.arrivedAt >= from && arrival.arrivedAt < until)
                .toList();
    }

    static double percentile(List<Arrival> arrivals, double share) {
        double[] latencies = arrivals.stream()
                .filter(Arrival::isAnswered)
                .mapToDouble(Arrival::latency)
                .sorted()
                .toArray();
        return latencies.length == 0 ? Double.NaN : latencies[(int) Math.ceil(latencies.length * share) - 1];
    }

    /** Returns the part of the slot time between two times that went into answers within their deadlines. */
    double usefulShare(int slots, double from, double until) {
        return arrivals.stream()
                        .filter(Arrival::isInTime)
                        .mapToDouble(arrival ->
                                Math.max(0, Math.min(until, arrival.endedAt) - Math.max(from, arrival.startedAt)))
                        .sum()
                / (slots * (until - from));
    }

    private void handle(Arrival arrival, SlotDecision decision) {
        switch (decision) {
            case Granted granted -> {
                arrival.startedAt = now + 2 * hopMillis;
                boolean fails = random.nextDouble() < failing.getOrDefault(granted.serverName(), 0.0);
                double millis = fails ? FAST_FAILURE_MILLIS : arrival.serviceMillis;
                long latencyMicros = (long) ((millis + 2 * hopMillis) * 1000);
                if (fails) {
                    arrival.failed = true;
                } else {
                    arrival.endedAt = arrival.startedAt + millis;
                }
                at(
                        arrival.startedAt + millis + 2 * hopMillis,
                        () -> scheduler.completeLease(
                                granted.leaseId(),
                                fails ? AttemptOutcome.BROKEN : AttemptOutcome.ANSWERED,
                                latencyMicros,
                                (long) now));
            }
            case Refused refused -> {
                arrival.refusedAt = now;
                arrival.refused = refused;
            }
            case Queued queued -> {
                waiting.put(queued.ticketId(), arrival);
                renewLater(queued.ticketId());
            }
        }
    }

    private void renewLater(long ticket) {
        at(now + 100, () -> {
            if (waiting.containsKey(ticket)) {
                scheduler
                        .renewTicket(ticket, (long) now)
                        .ifPresent(decision -> handle(waiting.remove(ticket), decision));
                renewLater(ticket);
            }
        });
    }

    private void at(double time, Runnable action) {
        events.add(new Event(time, ++order, action));
    }

    private record Event(double time, long order, Runnable action) {}

    /** One request and what became of it; times in milliseconds. */
    static final class Arrival {
        private final AdmissionRequest request;
        private final double arrivedAt;
        private final double serviceMillis;
        private double startedAt = Double.NaN;
        private double endedAt = Double.NaN;
        private double refusedAt = Double.NaN;
        private Refused refused;
        private boolean failed;

        private Arrival(AdmissionRequest request, double arrivedAt, double serviceMillis) {
            this.request = request;
            this.arrivedAt = arrivedAt;
            this.serviceMillis = serviceMillis;
        }

        boolean isAnswered() {
            return !Double.isNaN(endedAt);
        }

        boolean isInTime() {
            return isAnswered() && latency() <= request.remainingMillis();
        }

        boolean isFailed() {
            return failed;
        }

        boolean isRefused() {
            return refused != null;
        }

        Refused refused() {
            return refused;
        }

        double latency() {
            return endedAt - arrivedAt;
        }

        double waited() {
            return startedAt - arrivedAt;
        }

        double refusedAfter() {
            return refusedAt - arrivedAt;
        }
    }
}
