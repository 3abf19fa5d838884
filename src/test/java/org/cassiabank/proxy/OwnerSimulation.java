package org.cassiabank.proxy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.function.DoubleUnaryOperator;
import java.util.stream.IntStream;
import org.cassiabank.admission.AdmissionRequest;
import org.cassiabank.admission.CompletedLease;
import org.cassiabank.admission.Granted;
import org.cassiabank.admission.PlacementHints;
import org.cassiabank.admission.Queued;
import org.cassiabank.admission.Refused;
import org.cassiabank.admission.SchedulableServer;
import org.cassiabank.admission.SchedulerSettings;
import org.cassiabank.admission.SlotDecision;
import org.cassiabank.admission.SlotScheduler;
import org.cassiabank.admission.TicketDecision;
import org.cassiabank.declaration.CostHint;
import org.cassiabank.health.AttemptOutcome;
import org.cassiabank.health.CompletedAttempt;
import org.cassiabank.health.HealthMonitor;
import org.cassiabank.health.HealthSettings;
import org.cassiabank.health.MonitoredServer;
import org.cassiabank.health.RequestDigest;
import org.cassiabank.health.ServerHealth;
import org.cassiabank.health.SuspicionSettings;
import org.cassiabank.health.UnservedShare;
import org.cassiabank.retry.FleetRetryBudget;

/**
 * Plays requests, retries, faulty servers and resets of connections against the scheduler and the health monitor of one
 * shard in virtual time, joined as {@link OwnedShard} joins them. Times are in virtual milliseconds.
 */
final class OwnerSimulation {
    private static final double EVALUATION_INTERVAL_MILLIS = 50;
    private static final double RENEWAL_INTERVAL_MILLIS = 100;
    private static final double FAULT_MILLIS = 5;
    private static final double MAXIMUM_REPORT_MILLIS = 15;
    private static final int MAXIMUM_ATTEMPTS = 3;
    private static final int FAILURE_DOMAINS = 4;
    private static final long SUSPICION_MILLIS = 2_500;
    private static final long UNREPEATABLE_PROBE_DELAY_MILLIS = 500;
    private static final int FLOOR_PERCENT = 25;
    private static final double RETRY_RATIO = 0.2;
    private static final double RETRY_SLACK = 64;
    private static final long RETRY_WINDOW_MILLIS = 10_000;

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingDouble(Event::timeMillis).thenComparingLong(Event::order));
    private final Map<Long, SimulatedCall> queuedCalls = new HashMap<>();
    private final Set<SimulatedAttempt> attemptsInFlight = new LinkedHashSet<>();
    private final List<SimulatedCall> calls = new ArrayList<>();
    private final Set<String> crashedServers = new HashSet<>();
    private final SimulatedServerUse serverUse;
    private final SlotScheduler scheduler;
    private final HealthMonitor monitor;
    private final FleetRetryBudget retryBudget;
    private final UnservedShare unservedShare = UnservedShare.create(0);
    private final int serverCount;
    private final int slots;
    private final int entryCount;
    private final Random random;
    private double nowMillis;
    private double endMillis;
    private long lastOrder;

    private OwnerSimulation(int serverCount, int slots, int entryCount, long seed) {
        this.serverCount = serverCount;
        this.slots = slots;
        this.entryCount = entryCount;
        this.random = new Random(seed);
        this.scheduler = SlotScheduler.create(SchedulerSettings.defaults()
                .withSeparateLongWork(false)
                .withUnrepeatableProbeDelayMillis(UNREPEATABLE_PROBE_DELAY_MILLIS));
        this.monitor =
                HealthMonitor.create(HealthSettings.defaults().withSuspicion(SuspicionSettings.of(SUSPICION_MILLIS)));
        this.retryBudget = FleetRetryBudget.create(RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW_MILLIS, 0);
        this.serverUse = new SimulatedServerUse(
                IntStream.range(0, serverCount).mapToObj(OwnerSimulation::name).toList());
        updateServers();
    }

    static OwnerSimulation create(int serverCount, int slots, int entryCount, long seed) {
        return new OwnerSimulation(serverCount, slots, entryCount, seed);
    }

    /** Adds Poisson arrivals; the service times are uniform between half and one and a half times the mean. */
    OwnerSimulation addLoad(
            double meanServiceMillis,
            boolean repeatable,
            long deadlineMillis,
            double untilMillis,
            DoubleUnaryOperator requestsPerSecond) {
        return addLoad(
                "route",
                () -> meanServiceMillis * (0.5 + random.nextDouble()),
                repeatable,
                deadlineMillis,
                untilMillis,
                requestsPerSecond);
    }

    /** Adds Poisson arrivals of repeatable requests; the service times are log-normal, and a few are far longer. */
    OwnerSimulation addLongTailedLoad(
            String route,
            double meanServiceMillis,
            double logStandardDeviation,
            long deadlineMillis,
            double untilMillis,
            double requestsPerSecond) {
        return addLoad(
                route,
                () -> SimulatedCall.longTailedMillis(meanServiceMillis, logStandardDeviation, random),
                true,
                deadlineMillis,
                untilMillis,
                time -> requestsPerSecond);
    }

    private OwnerSimulation addLoad(
            String route,
            DoubleSupplier serviceMillis,
            boolean repeatable,
            long deadlineMillis,
            double untilMillis,
            DoubleUnaryOperator requestsPerSecond) {
        double maximumRate = IntStream.rangeClosed(0, 1_000)
                .mapToDouble(step -> requestsPerSecond.applyAsDouble(untilMillis * step / 1_000))
                .max()
                .orElseThrow();
        endMillis = Math.max(endMillis, untilMillis);
        double timeMillis = 0;
        while (true) {
            timeMillis -= Math.log(1 - random.nextDouble()) * 1_000 / maximumRate;
            if (timeMillis >= untilMillis) {
                return this;
            }
            if (random.nextDouble() * maximumRate < requestsPerSecond.applyAsDouble(timeMillis)) {
                SimulatedCall call = new SimulatedCall(
                        "entry-" + random.nextInt(entryCount),
                        route,
                        repeatable,
                        timeMillis,
                        timeMillis + deadlineMillis,
                        serviceMillis.getAsDouble());
                calls.add(call);
                schedule(timeMillis, () -> acquire(call));
            }
        }
    }

    /** Makes a server break a share of the connections soon after it has read a request. */
    OwnerSimulation addFaultyTime(int server, double fromMillis, double untilMillis, double share) {
        return addFaultyTime(server, fromMillis, untilMillis, share, SimulatedFault.Kind.BREAKS);
    }

    /** Makes a server fail a share of its requests by itself. It counts as sound 2 s after. */
    OwnerSimulation addFaultyTime(
            int server, double fromMillis, double untilMillis, double share, SimulatedFault.Kind kind) {
        serverUse.add(SimulatedFault.ofServer(name(server), fromMillis, untilMillis, share, kind));
        return this;
    }

    /** Makes a server take longer by a factor for the requests that it begins. It counts as sound 6 s after. */
    OwnerSimulation addSlowTime(int server, double fromMillis, double untilMillis, double factor) {
        serverUse.add(SimulatedFault.slowness(name(server), fromMillis, untilMillis, factor));
        return this;
    }

    /** Resets a share of the connections of a share of the entry proxies; the servers are sound. */
    OwnerSimulation addReset(double atMillis, double entryShare, double connectionShare) {
        schedule(atMillis, () -> {
            Set<String> entries = new HashSet<>();
            for (int entry = 0; entry < entryCount; entry++) {
                if (random.nextDouble() < entryShare) {
                    entries.add("entry-" + entry);
                }
            }
            List.copyOf(attemptsInFlight).stream()
                    .filter(attempt -> entries.contains(attempt.call().entry) && random.nextDouble() < connectionShare)
                    .forEach(attempt -> end(attempt, AttemptOutcome.BROKEN));
        });
        return this;
    }

    /** Ends servers for good: their open connections break, and new ones are refused. */
    OwnerSimulation addCrash(double atMillis, Set<Integer> crashed) {
        schedule(atMillis, () -> {
            for (int server : crashed) {
                crashedServers.add(name(server));
                List.copyOf(attemptsInFlight).stream()
                        .filter(attempt -> attempt.server().equals(name(server)))
                        .forEach(attempt -> end(attempt, AttemptOutcome.BROKEN));
            }
        });
        return this;
    }

    /** Processes events until none is left. */
    OwnerSimulation run() {
        for (double time = 0; time < endMillis; time += EVALUATION_INTERVAL_MILLIS) {
            schedule(time, this::evaluate);
        }
        while (!events.isEmpty()) {
            Event event = events.remove();
            nowMillis = event.timeMillis();
            event.action().run();
            for (TicketDecision decided : scheduler.advance((long) nowMillis)) {
                apply(queuedCalls.remove(decided.ticketId()), decided.decision());
            }
        }
        return this;
    }

    /** Returns the share of the requests of a time that were answered in time. */
    double servedShare(double fromMillis, double untilMillis) {
        List<SimulatedCall> selected = calls.stream()
                .filter(call -> call.arrivedAtMillis >= fromMillis && call.arrivedAtMillis < untilMillis)
                .toList();
        return selected.isEmpty()
                ? 1
                : (double) selected.stream().filter(call -> call.answered).count() / selected.size();
    }

    /** Returns how many requests ended at a server that failed them and were not answered by another one. */
    long lostCalls() {
        return calls.stream().filter(call -> call.failed && !call.answered).count();
    }

    SimulatedServerUse serverUse() {
        return serverUse;
    }

    int callCount() {
        return calls.size();
    }

    /** Returns the smallest share of the sound servers that got a request within a time of the given length. */
    double smallestUsedShare(double fromMillis, double untilMillis, double lengthMillis) {
        double smallest = 1;
        for (double start = fromMillis; start + lengthMillis <= untilMillis; start += EVALUATION_INTERVAL_MILLIS) {
            smallest = Math.min(smallest, serverUse.usedShare(start, start + lengthMillis));
        }
        return smallest;
    }

    /**
     * Returns the starts of the times of a length in which more than a tenth but less than half of the requests were
     * not served, while less than a share of the sound servers got any.
     */
    List<Double> timesWithIdleSoundServers(double untilMillis, double lengthMillis, double minimumShare) {
        List<Double> times = new ArrayList<>();
        for (double start = 0; start + lengthMillis <= untilMillis; start += EVALUATION_INTERVAL_MILLIS) {
            double unserved = 1 - servedShare(start, start + lengthMillis);
            if (unserved > 0.1 && unserved < 0.5 && serverUse.usedShare(start, start + lengthMillis) < minimumShare) {
                times.add(start);
            }
        }
        return times;
    }

    private void evaluate() {
        scheduler
                .inFlightAttempts((long) nowMillis)
                .forEach(attempt -> monitor.recordInFlight(
                        attempt.serverName(), attempt.route(), attempt.elapsedMicros(), (long) nowMillis));
        updateServers();
    }

    private void updateServers() {
        List<MonitoredServer> monitored = IntStream.range(0, serverCount)
                .mapToObj(server -> new MonitoredServer(name(server), false, true, domain(server)))
                .toList();
        monitor.replaceServers(monitored, (serverCount * FLOOR_PERCENT + 99) / 100, (long) nowMillis);
        long now = (long) nowMillis;
        boolean capacityNeeded = scheduler.load(now).isNearlyFull() || unservedShare.isHigh(now);
        scheduler.setCapacityNeeded(capacityNeeded, unservedShare.isHigh(now));
        Map<String, ServerHealth> health = monitor.evaluate(capacityNeeded, now);
        scheduler.replaceServers(
                IntStream.range(0, serverCount)
                        .mapToObj(server -> new SchedulableServer(
                                name(server),
                                "127.0.0.1:" + (20_000 + server),
                                slots,
                                health.get(name(server)),
                                false,
                                Map.of(),
                                domain(server),
                                OptionalDouble.empty()))
                        .toList(),
                (long) nowMillis);
    }

    private void acquire(SimulatedCall call) {
        long now = (long) nowMillis;
        if (call.excludedServers.isEmpty()) {
            retryBudget.recordRequest(now);
        }
        AdmissionRequest request = new AdmissionRequest(
                call.entry,
                call.route,
                call.route,
                "*",
                CostHint.LEARNED,
                call.repeatable,
                0,
                Math.max(0, (long) (call.deadlineMillis - nowMillis)),
                0,
                call.excludedServers,
                Map.of(),
                new PlacementHints(call.excludedServers.size() + 1, "", Set.of()),
                RequestDigest.none());
        apply(call, scheduler.acquire(request, now));
    }

    private void apply(SimulatedCall call, SlotDecision decision) {
        switch (decision) {
            case Granted granted -> start(call, granted);
            case Refused refused -> {
                call.failed |= !call.excludedServers.isEmpty();
                unservedShare.recordRefusal((long) nowMillis);
            }
            case Queued queued -> {
                queuedCalls.put(queued.ticketId(), call);
                scheduleRenewal(queued.ticketId());
            }
        }
    }

    private void scheduleRenewal(long ticketId) {
        schedule(nowMillis + RENEWAL_INTERVAL_MILLIS, () -> {
            if (queuedCalls.containsKey(ticketId)) {
                scheduler
                        .renewTicket(ticketId, (long) nowMillis)
                        .ifPresent(decision -> apply(queuedCalls.remove(ticketId), decision));
                scheduleRenewal(ticketId);
            }
        });
    }

    private void start(SimulatedCall call, Granted granted) {
        SimulatedAttempt attempt = new SimulatedAttempt(call, granted.leaseId(), granted.serverName(), nowMillis);
        attemptsInFlight.add(attempt);
        if (crashedServers.contains(granted.serverName())) {
            schedule(nowMillis + 1, () -> end(attempt, AttemptOutcome.NOT_RUN));
            return;
        }
        serverUse.recordStart(granted.serverName(), nowMillis);
        List<SimulatedFault> presentFaults = serverUse.faultsAt(granted.serverName(), nowMillis);
        double serviceMillis = call.serviceMillis
                * presentFaults.stream()
                        .mapToDouble(SimulatedFault::slowdown)
                        .max()
                        .orElse(1);
        Optional<SimulatedFault> failure = presentFaults.stream()
                .filter(time -> random.nextDouble() < time.share())
                .findFirst();
        schedule(call.deadlineMillis, () -> end(attempt, AttemptOutcome.OVERDUE));
        if (failure.isEmpty()) {
            schedule(nowMillis + serviceMillis, () -> end(attempt, AttemptOutcome.ANSWERED));
            return;
        }
        switch (failure.get().kind()) {
            case BREAKS -> schedule(nowMillis + FAULT_MILLIS, () -> end(attempt, AttemptOutcome.BROKEN));
            case LOSES -> schedule(nowMillis + serviceMillis, () -> end(attempt, AttemptOutcome.BROKEN));
            case HANGS ->
                schedule(failure.get().untilMillis() + serviceMillis, () -> end(attempt, AttemptOutcome.ANSWERED));
            case SILENT -> {
                // The attempt ends at its deadline.
            }
        }
    }

    private void end(SimulatedAttempt attempt, AttemptOutcome outcome) {
        if (!attemptsInFlight.remove(attempt)) {
            return;
        }
        long latencyMicros = (long) ((nowMillis - attempt.startedAtMillis()) * 1_000);
        SimulatedCall call = attempt.call();
        schedule(
                nowMillis + 1 + random.nextDouble() * (MAXIMUM_REPORT_MILLIS - 1),
                () -> report(attempt, outcome, latencyMicros));
        if (outcome == AttemptOutcome.ANSWERED) {
            call.answered = true;
            return;
        }
        call.excludedServers.add(attempt.server());
        boolean mayHaveRun = outcome != AttemptOutcome.NOT_RUN;
        call.failed |= mayHaveRun;
        if ((call.repeatable || !mayHaveRun)
                && call.excludedServers.size() < MAXIMUM_ATTEMPTS
                && nowMillis < call.deadlineMillis
                && retryBudget.trySpend((long) nowMillis)) {
            acquire(call);
        }
    }

    private void report(SimulatedAttempt attempt, AttemptOutcome outcome, long latencyMicros) {
        long now = (long) nowMillis;
        for (CompletedLease completed : scheduler.completeLease(attempt.leaseId(), outcome, latencyMicros, now).stream()
                .toList()) {
            serverUse.recordEnd(completed, outcome);
            unservedShare.recordAttempt(outcome, completed.repeatable(), completed.suspectTest(), now);
            Set<String> excusedServers = monitor.record(
                    new CompletedAttempt(
                            completed.serverName(),
                            completed.route(),
                            outcome,
                            latencyMicros,
                            completed.entryProxy(),
                            completed.repeatable()),
                    now);
            scheduler.excuseFailures(excusedServers, now);
            if (outcome.isEvidenceAgainstServer()) {
                updateServers();
            }
        }
    }

    private void schedule(double timeMillis, Runnable action) {
        events.add(new Event(timeMillis, ++lastOrder, action));
    }

    private static String name(int server) {
        return "server-" + server;
    }

    private static String domain(int server) {
        return "domain-" + server % FAILURE_DOMAINS;
    }

    private record Event(double timeMillis, long order, Runnable action) {}
}
