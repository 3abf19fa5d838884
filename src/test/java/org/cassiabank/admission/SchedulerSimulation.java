package org.cassiabank.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.DoubleUnaryOperator;
import java.util.stream.IntStream;
import org.cassiabank.declaration.CostHint;
import org.cassiabank.health.AttemptOutcome;
import org.cassiabank.health.ServerHealth;

/**
 * An event loop in virtual time that passes seeded random arrivals through a scheduler to simulated servers, which may
 * be set to fail a share of their requests. Times are in virtual milliseconds.
 */
final class SchedulerSimulation {
    private static final double FAST_FAILURE_MILLIS = 10;
    private static final double SHED_MILLIS = 3;

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingDouble(Event::timeMillis).thenComparingLong(Event::order));
    private final Map<Long, Arrival> queuedArrivals = new HashMap<>();
    private final List<Arrival> arrivals = new ArrayList<>();
    private final SlotScheduler scheduler;
    private final List<SchedulableServer> servers;
    private final Random random;
    private double messageMillis;
    private int urgencyRank;
    private Set<String> excludedServers = Set.of();
    private final Map<String, Double> failureShares = new HashMap<>();
    private final Map<String, Double> shedShares = new HashMap<>();
    private boolean repeatable = true;
    private double nowMillis;
    private long lastEventOrder;

    private SchedulerSimulation(SchedulerSettings settings, int serverCount, int slotsPerServer, long seed) {
        scheduler = SlotScheduler.create(settings);
        servers = servers(serverCount, slotsPerServer);
        scheduler.replaceServers(servers, 0);
        random = new Random(seed);
    }

    static SchedulerSimulation create(SchedulerSettings settings, int serverCount, int slotsPerServer, long seed) {
        return new SchedulerSimulation(settings, serverCount, slotsPerServer, seed);
    }

    /** Sets the transfer time of one message between the owner, an entry proxy and a server. */
    SchedulerSimulation setMessageMillis(double newMessageMillis) {
        messageMillis = newMessageMillis;
        return this;
    }

    /** Sets the urgency and the excluded servers of the loads that are added afterwards. */
    SchedulerSimulation setUrgencyAndExclusions(int newUrgencyRank, Set<String> newExcludedServers) {
        urgencyRank = newUrgencyRank;
        excludedServers = newExcludedServers;
        return this;
    }

    /** Makes a server fail a share of its requests after 10 ms. */
    SchedulerSimulation setFailureShare(String serverName, double share) {
        failureShares.put(serverName, share);
        return this;
    }

    /** Makes a server shed a share of its requests after 3 ms, whatever its load. */
    SchedulerSimulation setShedShare(String serverName, double share) {
        shedShares.put(serverName, share);
        return this;
    }

    /** Makes the first servers accept a limited rate of requests from the start. */
    SchedulerSimulation setRateLimits(int limitedServers, double requestsPerSecond) {
        List<SchedulableServer> limited = new ArrayList<>();
        for (SchedulableServer server : servers) {
            limited.add(new SchedulableServer(
                    server.name(),
                    server.address(),
                    server.slots(),
                    server.health(),
                    server.leaving(),
                    server.labels(),
                    server.failureDomain(),
                    limited.size() < limitedServers ? OptionalDouble.of(requestsPerSecond) : OptionalDouble.empty()));
        }
        scheduler.replaceServers(limited, 0);
        return this;
    }

    /** Makes the requests of the loads that are added afterwards unrepeatable. */
    SchedulerSimulation setUnrepeatable() {
        repeatable = false;
        return this;
    }

    static List<SchedulableServer> servers(int count, int slotsPerServer) {
        return IntStream.range(0, count)
                .mapToObj(i -> SchedulableServer.of(
                        "server-" + i,
                        "127.0.0.1:" + (20_000 + i),
                        slotsPerServer,
                        ServerHealth.HEALTHY,
                        false,
                        Map.of()))
                .toList();
    }

    static AdmissionRequest request(String route, String customer, long remainingMillis) {
        return request(route, customer, remainingMillis, Set.of(), true);
    }

    private static AdmissionRequest request(
            String route, String customer, long remainingMillis, Set<String> excludedServers, boolean repeatable) {
        return AdmissionRequest.forFirstAttempt(
                "entry",
                route,
                route,
                customer,
                CostHint.LEARNED,
                repeatable,
                remainingMillis,
                excludedServers,
                Map.of());
    }

    /** Adds Poisson arrivals; the service times are uniform between half and one and a half times the mean. */
    SchedulerSimulation addLoad(
            String route,
            double meanServiceMillis,
            int customers,
            long deadlineMillis,
            double untilMillis,
            DoubleUnaryOperator requestsPerSecond) {
        double maximumRequestsPerSecond = IntStream.rangeClosed(0, 1000)
                .mapToDouble(i -> requestsPerSecond.applyAsDouble(untilMillis * i / 1000))
                .max()
                .orElseThrow();
        double timeMillis = 0;
        while (true) {
            timeMillis -= Math.log(1 - random.nextDouble()) * 1000 / maximumRequestsPerSecond;
            if (timeMillis >= untilMillis) {
                return this;
            }
            if (random.nextDouble() * maximumRequestsPerSecond < requestsPerSecond.applyAsDouble(timeMillis)) {
                Arrival arrival = new Arrival(
                        request(
                                        route,
                                        "customer-" + random.nextInt(customers),
                                        deadlineMillis,
                                        excludedServers,
                                        repeatable)
                                .withUrgencyRank(urgencyRank),
                        timeMillis,
                        meanServiceMillis * (0.5 + random.nextDouble()));
                arrivals.add(arrival);
                schedule(
                        timeMillis, () -> applyDecision(arrival, scheduler.acquire(arrival.request, (long) nowMillis)));
            }
        }
    }

    /** Processes events until none is left. */
    SchedulerSimulation run() {
        while (!events.isEmpty()) {
            Event event = events.remove();
            nowMillis = event.timeMillis();
            event.action().run();
            for (TicketDecision decided : scheduler.advance((long) nowMillis)) {
                applyDecision(queuedArrivals.remove(decided.ticketId()), decided.decision());
            }
        }
        return this;
    }

    List<Arrival> arrivalsBetween(String route, double fromMillis, double untilMillis) {
        return arrivals.stream()
                .filter(arrival -> arrival.request.route().equals(route)
                        && arrival.arrivedAtMillis >= fromMillis
                        && arrival.arrivedAtMillis < untilMillis)
                .toList();
    }

    static double latencyPercentileMillis(List<Arrival> arrivals, double fraction) {
        double[] latenciesMillis = arrivals.stream()
                .filter(Arrival::isAnswered)
                .mapToDouble(Arrival::latencyMillis)
                .sorted()
                .toArray();
        return latenciesMillis.length == 0
                ? Double.NaN
                : latenciesMillis[(int) Math.ceil(latenciesMillis.length * fraction) - 1];
    }

    /** Returns the share of the slot time between two times that was spent on responses within their deadlines. */
    double usefulSlotShare(int totalSlots, double fromMillis, double untilMillis) {
        return arrivals.stream()
                        .filter(Arrival::isInTime)
                        .mapToDouble(arrival -> Math.max(
                                0,
                                Math.min(untilMillis, arrival.endedAtMillis)
                                        - Math.max(fromMillis, arrival.startedAtMillis)))
                        .sum()
                / (totalSlots * (untilMillis - fromMillis));
    }

    private void applyDecision(Arrival arrival, SlotDecision decision) {
        switch (decision) {
            case Granted granted -> {
                arrival.startedAtMillis = nowMillis + 2 * messageMillis;
                arrival.serverName = granted.serverName();
                boolean sheds = shedShares.containsKey(granted.serverName())
                        && random.nextDouble() < shedShares.get(granted.serverName());
                if (sheds) {
                    arrival.failed = true;
                    schedule(
                            arrival.startedAtMillis + SHED_MILLIS + 2 * messageMillis,
                            () -> scheduler.completeLease(
                                    granted.leaseId(), AttemptOutcome.NOT_RUN, 0, (long) nowMillis));
                    return;
                }
                boolean fails = random.nextDouble() < failureShares.getOrDefault(granted.serverName(), 0.0);
                double serviceMillis = fails ? FAST_FAILURE_MILLIS : arrival.serviceMillis;
                long latencyMicros = (long) ((serviceMillis + 2 * messageMillis) * 1000);
                if (fails) {
                    arrival.failed = true;
                } else {
                    arrival.endedAtMillis = arrival.startedAtMillis + serviceMillis;
                }
                schedule(
                        arrival.startedAtMillis + serviceMillis + 2 * messageMillis,
                        () -> scheduler.completeLease(
                                granted.leaseId(),
                                fails ? AttemptOutcome.BROKEN : AttemptOutcome.ANSWERED,
                                latencyMicros,
                                (long) nowMillis));
            }
            case Refused refused -> {
                arrival.refusedAtMillis = nowMillis;
                arrival.refusal = refused;
            }
            case Queued queued -> {
                queuedArrivals.put(queued.ticketId(), arrival);
                scheduleRenewal(queued.ticketId());
            }
        }
    }

    private void scheduleRenewal(long ticketId) {
        schedule(nowMillis + 100, () -> {
            if (queuedArrivals.containsKey(ticketId)) {
                scheduler
                        .renewTicket(ticketId, (long) nowMillis)
                        .ifPresent(decision -> applyDecision(queuedArrivals.remove(ticketId), decision));
                scheduleRenewal(ticketId);
            }
        });
    }

    private void schedule(double timeMillis, Runnable action) {
        events.add(new Event(timeMillis, ++lastEventOrder, action));
    }

    private record Event(double timeMillis, long order, Runnable action) {}

    /** One request and its result; times in milliseconds, NaN if the event did not happen. */
    static final class Arrival {
        private final AdmissionRequest request;
        private final double arrivedAtMillis;
        private final double serviceMillis;
        private double startedAtMillis = Double.NaN;
        private double endedAtMillis = Double.NaN;
        private double refusedAtMillis = Double.NaN;
        private Refused refusal;
        private String serverName = "";
        private boolean failed;

        private Arrival(AdmissionRequest request, double arrivedAtMillis, double serviceMillis) {
            this.request = request;
            this.arrivedAtMillis = arrivedAtMillis;
            this.serviceMillis = serviceMillis;
        }

        boolean isAnswered() {
            return !Double.isNaN(endedAtMillis);
        }

        boolean isInTime() {
            return isAnswered() && latencyMillis() <= request.remainingMillis();
        }

        boolean isFailed() {
            return failed;
        }

        /** Returns the server that the request was sent to, empty if there is none. */
        String serverName() {
            return serverName;
        }

        double startedAtMillis() {
            return startedAtMillis;
        }

        boolean isRefused() {
            return refusal != null;
        }

        Refused refusal() {
            return refusal;
        }

        double latencyMillis() {
            return endedAtMillis - arrivedAtMillis;
        }

        double waitedMillis() {
            return startedAtMillis - arrivedAtMillis;
        }

        double refusedAfterMillis() {
            return refusedAtMillis - arrivedAtMillis;
        }
    }
}
