package org.cassiabank.quota;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Daemons that charge the requests of one customer and exchange their use over a network with delays and cuts.
 */
final class QuotaSimulation {
    static final String CUSTOMER = "desk";
    private static final long STEP_MILLIS = 10;
    private static final long LOST_MESSAGE_MILLIS = 250;

    enum Fault {
        NONE,
        CUT,
        PAUSE,
        RESTART,
        CRASH
    }

    /** One daemon; the index is its place in the order of the customer. */
    private static final class Daemon {
        private QuotaParticipant participant;
        private QuotaCoordinator coordinator;
        private long startMillis = -1_000_000;
        private long pausedUntilMillis;
        private boolean stopped;
        private long[] unreachableUntilMillis;
    }

    private record Event(long atMillis, long number, Runnable action) {}

    int granted;
    int refused;
    double worstExcess = Double.NEGATIVE_INFINITY;
    private final QuotaBounds bounds = QuotaBounds.defaults();
    private final Random random;
    private final List<Daemon> daemons = new ArrayList<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::number));
    private final Deque<Long> window = new ArrayDeque<>();
    private CustomerLimit limit;
    private double largestAllowed;
    private long largestAllowedUntilMillis;
    private Set<Integer> cutOff = Set.of();
    private long nowMillis = 1_000_000;
    private long eventNumber;

    QuotaSimulation(int daemonCount, CustomerLimit limit, long seed) {
        this.random = new Random(seed);
        this.limit = limit;
        this.largestAllowed = bounds.maximumRequests(limit);
        for (int index = 0; index < daemonCount; index++) {
            Daemon daemon = new Daemon();
            daemons.add(daemon);
        }
        for (int index = 0; index < daemonCount; index++) {
            start(index);
            daemons.get(index).startMillis = 0;
        }
    }

    private void start(int index) {
        Daemon daemon = daemons.get(index);
        daemon.participant = QuotaParticipant.create("proxy-" + index, nowMillis, bounds);
        daemon.coordinator = QuotaCoordinator.create(bounds, nowMillis * 1_000);
        daemon.startMillis = nowMillis;
        daemon.stopped = false;
        daemon.unreachableUntilMillis = new long[daemons.size()];
        applyLimit(daemon);
    }

    private void applyLimit(Daemon daemon) {
        CustomerLimit current = limit;
        Set<String> names = IntStream.range(0, daemons.size())
                .mapToObj(other -> "proxy-" + other)
                .collect(Collectors.toSet());
        daemon.participant.update(customer -> Optional.of(current), daemons.size());
        daemon.coordinator.update(customer -> Optional.of(current), names);
    }

    /** Changes the limit at all daemons within a second. */
    void changeLimit(CustomerLimit newLimit) {
        largestAllowed = Math.max(largestAllowed, bounds.maximumRequests(newLimit));
        largestAllowedUntilMillis = nowMillis + 1_000 + 2 * bounds.windowMillis();
        limit = newLimit;
        daemons.forEach(daemon -> schedule(random.nextInt(1_000), () -> applyLimit(daemon)));
    }

    /** Injects a fault of the given number of daemons, which lasts for a time. */
    void inject(Fault fault, int firstIndex, int count, long durationMillis) {
        List<Integer> affected = IntStream.range(firstIndex, Math.min(daemons.size(), firstIndex + count))
                .boxed()
                .toList();
        switch (fault) {
            case NONE -> {}
            case CUT -> {
                cutOff = Set.copyOf(affected);
                schedule(durationMillis, () -> cutOff = Set.of());
            }
            case PAUSE -> affected.forEach(index -> daemons.get(index).pausedUntilMillis = nowMillis + durationMillis);
            case RESTART -> affected.forEach(this::start);
            case CRASH -> {
                affected.forEach(index -> daemons.get(index).stopped = true);
                schedule(durationMillis, () -> affected.forEach(this::start));
            }
        }
    }

    /** Runs with Poisson arrivals at daemons first..first+count-1. */
    void run(long durationMillis, double requestsPerSecond, int first, int count) {
        long endMillis = nowMillis + durationMillis;
        while (nowMillis < endMillis) {
            nowMillis += STEP_MILLIS;
            while (!events.isEmpty() && events.peek().atMillis() <= nowMillis) {
                events.poll().action().run();
            }
            double expected = requestsPerSecond * STEP_MILLIS / 1_000;
            for (double sum = -Math.log(1 - random.nextDouble());
                    sum < expected;
                    sum -= Math.log(1 - random.nextDouble())) {
                arrive(daemons.get((first + random.nextInt(count)) % daemons.size()));
            }
            for (int index = 0; index < daemons.size(); index++) {
                if (isRunning(daemons.get(index))) {
                    sendReports(index);
                }
            }
        }
    }

    private boolean isRunning(Daemon daemon) {
        return !daemon.stopped && nowMillis >= daemon.pausedUntilMillis;
    }

    private void arrive(Daemon daemon) {
        if (!isRunning(daemon)) {
            return;
        }
        if (daemon.participant.tryAcquire(CUSTOMER, nowMillis) instanceof QuotaRefused) {
            refused++;
            return;
        }
        if (random.nextInt(10) == 0) {
            daemon.participant.release(CUSTOMER);
            return;
        }
        granted++;
        window.addLast(nowMillis);
        while (window.peekFirst() <= nowMillis - bounds.windowMillis()) {
            window.removeFirst();
        }
        double allowed = nowMillis <= largestAllowedUntilMillis ? largestAllowed : bounds.maximumRequests(limit);
        worstExcess = Math.max(worstExcess, window.size() - allowed);
    }

    private void sendReports(int index) {
        Daemon daemon = daemons.get(index);
        int receiver = index;
        for (int candidate = daemons.size() - 1; candidate >= 0; candidate--) {
            if (daemon.unreachableUntilMillis[candidate] <= nowMillis) {
                receiver = candidate;
            }
        }
        int coordinator = receiver;
        for (QuotaReport report : daemon.participant.report(customer -> "proxy-" + coordinator, nowMillis)) {
            QuotaParticipant sender = daemon.participant;
            schedule(1 + random.nextInt(10), () -> deliver(index, sender, coordinator, report));
        }
    }

    private void deliver(int index, QuotaParticipant sender, int receiverIndex, QuotaReport report) {
        Daemon receiver = daemons.get(receiverIndex);
        if (cutOff.contains(index) != cutOff.contains(receiverIndex) || !isRunning(receiver)) {
            schedule(
                    LOST_MESSAGE_MILLIS,
                    () -> daemons.get(index).unreachableUntilMillis[receiverIndex] = nowMillis + 1_000);
            return;
        }
        List<QuotaLease> leases = receiver.coordinator.exchange(
                report,
                customer -> receiverIndex == 0 ? OptionalLong.of(receiver.startMillis) : OptionalLong.empty(),
                nowMillis);
        schedule(1 + random.nextInt(10), () -> {
            boolean lost = cutOff.contains(index) != cutOff.contains(receiverIndex);
            if (!lost && daemons.get(index).participant == sender && isRunning(daemons.get(index))) {
                sender.apply(report, leases, nowMillis);
            }
        });
    }

    private void schedule(long delayMillis, Runnable action) {
        events.add(new Event(nowMillis + delayMillis, eventNumber++, action));
    }
}
