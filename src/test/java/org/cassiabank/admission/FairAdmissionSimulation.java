package org.cassiabank.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.DoubleUnaryOperator;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import org.cassiabank.declaration.CostHint;
import org.cassiabank.health.AttemptOutcome;
import org.cassiabank.health.RequestDigest;
import org.cassiabank.health.ServerHealth;
import org.cassiabank.retry.FleetRetryBudget;

/**
 * Plays unrepeatable requests of several customers against one shard in virtual time. Servers may refuse a share of
 * what they get, after which a request tries another server, and half of them may be unusable in turn. Times are in
 * virtual milliseconds.
 */
final class FairAdmissionSimulation {
    static final long TARGET_MILLIS = 1_200;
    static final long DEADLINE_MILLIS = 2_000;
    private static final double MEAN_SERVICE_MILLIS = 240;
    private static final double SHED_MILLIS = 3;
    private static final double RENEWAL_MILLIS = 100;
    private static final int MAXIMUM_ATTEMPTS = 4;
    private static final double UNUSABLE_INTERVAL_MILLIS = 2_500;

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingDouble(Event::timeMillis).thenComparingLong(Event::order));
    private final Map<Long, Call> queuedCalls = new HashMap<>();
    private final List<Call> calls = new ArrayList<>();
    private final SlotScheduler scheduler = SlotScheduler.create(
            SchedulerSettings.defaults().withSeparateLongWork(false).withUnrepeatableProbeDelayMillis(500));
    private final FleetRetryBudget retryBudget = FleetRetryBudget.create(0.2, 64, 10_000, 0);
    private final Random random;
    private final int servers;
    private final int slots;
    private DoubleUnaryOperator shedShare = time -> 0;
    private double nowMillis;
    private long lastOrder;

    private FairAdmissionSimulation(int servers, int slots, boolean fair, long seed) {
        this.servers = servers;
        this.slots = slots;
        this.random = new Random(seed);
        scheduler.setFairAdmission(fair);
        setUnusable(Set.of());
    }

    static FairAdmissionSimulation create(int servers, int slots, boolean fair, long seed) {
        return new FairAdmissionSimulation(servers, slots, fair, seed);
    }

    /** Sets the share of requests that all servers refuse as a function of the time. */
    FairAdmissionSimulation setShedShare(DoubleUnaryOperator share) {
        shedShare = share;
        return this;
    }

    /** Makes half of the servers unusable until a time, others every 2.5 s. */
    FairAdmissionSimulation setHalfUnusable(double untilMillis) {
        for (int i = 0; i * UNUSABLE_INTERVAL_MILLIS < untilMillis; i++) {
            int first = i * servers / 3;
            schedule(
                    i * UNUSABLE_INTERVAL_MILLIS,
                    () -> setUnusable(new HashSet<>(IntStream.range(first, first + servers / 2)
                            .mapToObj(server -> server % servers)
                            .toList())));
        }
        return this;
    }

    /** Adds Poisson arrivals of one customer; service times are uniform between half and one and a half of the mean. */
    FairAdmissionSimulation addCustomer(
            String customer, double weight, int urgencyRank, double untilMillis, DoubleUnaryOperator perSecond) {
        double maximum = IntStream.rangeClosed(0, 1_000)
                .mapToDouble(i -> perSecond.applyAsDouble(untilMillis * i / 1_000))
                .max()
                .orElseThrow();
        double timeMillis = 0;
        while (true) {
            timeMillis -= Math.log(1 - random.nextDouble()) * 1_000 / maximum;
            if (timeMillis >= untilMillis) {
                return this;
            }
            if (random.nextDouble() * maximum < perSecond.applyAsDouble(timeMillis)) {
                Call call = new Call(
                        customer, weight, urgencyRank, timeMillis, MEAN_SERVICE_MILLIS * (0.5 + random.nextDouble()));
                calls.add(call);
                schedule(timeMillis, () -> acquire(call));
            }
        }
    }

    FairAdmissionSimulation run() {
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

    List<Call> calls(double fromMillis, double untilMillis, Predicate<Call> condition) {
        return calls.stream()
                .filter(call -> call.arrivedMillis >= fromMillis && call.arrivedMillis < untilMillis)
                .filter(condition)
                .toList();
    }

    private void setUnusable(Set<Integer> unusable) {
        scheduler.replaceServers(
                IntStream.range(0, servers)
                        .mapToObj(i -> new SchedulableServer(
                                "server-" + i,
                                "127.0.0.1:" + (20_000 + i),
                                slots,
                                unusable.contains(i) ? ServerHealth.EJECTED : ServerHealth.HEALTHY,
                                false,
                                Map.of(),
                                "",
                                OptionalDouble.empty()))
                        .toList(),
                (long) nowMillis);
    }

    private void acquire(Call call) {
        if (call.excludedServers.isEmpty()) {
            retryBudget.recordRequest((long) nowMillis);
        } else if (!retryBudget.trySpend((long) nowMillis)) {
            apply(call, new Refused(RefusalReason.RETRY_BUDGET, 200));
            return;
        }
        apply(call, scheduler.acquire(call.toRequest(nowMillis), (long) nowMillis));
    }

    private void apply(Call call, SlotDecision decision) {
        switch (decision) {
            case Granted granted -> start(call, granted);
            case Refused refused -> {
                call.refusal = refused;
                call.refusedMillis = nowMillis;
            }
            case Queued queued -> {
                queuedCalls.put(queued.ticketId(), call);
                scheduleRenewal(queued.ticketId());
            }
        }
    }

    private void start(Call call, Granted granted) {
        if (Double.isNaN(call.startedMillis)) {
            call.startedMillis = nowMillis;
        }
        boolean sheds = random.nextDouble() < shedShare.applyAsDouble(nowMillis);
        double durationMillis = sheds ? SHED_MILLIS : call.serviceMillis;
        schedule(nowMillis + durationMillis, () -> {
            scheduler.completeLease(
                    granted.leaseId(),
                    sheds ? AttemptOutcome.NOT_RUN : AttemptOutcome.ANSWERED,
                    (long) (durationMillis * 1_000),
                    (long) nowMillis);
            if (!sheds) {
                call.latencyMillis = nowMillis - call.arrivedMillis;
            } else {
                call.excludedServers.add(granted.serverName());
                if (call.excludedServers.size() < MAXIMUM_ATTEMPTS) {
                    acquire(call);
                }
            }
        });
    }

    private void scheduleRenewal(long ticketId) {
        schedule(nowMillis + RENEWAL_MILLIS, () -> {
            if (queuedCalls.containsKey(ticketId)) {
                scheduler
                        .renewTicket(ticketId, (long) nowMillis)
                        .ifPresent(decision -> apply(queuedCalls.remove(ticketId), decision));
                scheduleRenewal(ticketId);
            }
        });
    }

    private void schedule(double timeMillis, Runnable action) {
        events.add(new Event(timeMillis, ++lastOrder, action));
    }

    private record Event(double timeMillis, long order, Runnable action) {}

    /** One request of a caller and its result; NaN stands for an event that did not happen. */
    static final class Call {
        private final String customer;
        private final double weight;
        private final int urgencyRank;
        private final double arrivedMillis;
        private final double serviceMillis;
        private final Set<String> excludedServers = new HashSet<>();
        private double startedMillis = Double.NaN;
        private double refusedMillis = Double.NaN;
        private double latencyMillis = Double.NaN;
        private Refused refusal;

        private Call(String customer, double weight, int urgencyRank, double arrivedMillis, double serviceMillis) {
            this.customer = customer;
            this.weight = weight;
            this.urgencyRank = urgencyRank;
            this.arrivedMillis = arrivedMillis;
            this.serviceMillis = serviceMillis;
        }

        String customer() {
            return customer;
        }

        int urgencyRank() {
            return urgencyRank;
        }

        boolean isServed() {
            return latencyMillis <= DEADLINE_MILLIS;
        }

        boolean isOnTime() {
            return latencyMillis <= TARGET_MILLIS;
        }

        boolean isRefused() {
            return refusal != null;
        }

        Refused refusal() {
            return refusal;
        }

        /** Returns how long a request waited for its first slot. */
        double waitedMillis() {
            return startedMillis - arrivedMillis;
        }

        double heldMillis() {
            return refusedMillis - arrivedMillis;
        }

        double remainingMillisAtRefusal() {
            return DEADLINE_MILLIS - heldMillis();
        }

        private AdmissionRequest toRequest(double nowMillis) {
            return new AdmissionRequest(
                            "entry",
                            "order",
                            "order",
                            customer,
                            CostHint.LEARNED,
                            false,
                            urgencyRank,
                            Math.max(0, (long) (arrivedMillis + DEADLINE_MILLIS - nowMillis)),
                            Math.max(0, (long) (arrivedMillis + TARGET_MILLIS - nowMillis)),
                            excludedServers,
                            Map.of(),
                            new PlacementHints(excludedServers.size() + 1, "", Set.of()),
                            RequestDigest.of(customer, "", "POST", "/" + arrivedMillis, new byte[0]))
                    .withCustomerWeight(weight)
                    .withStatedTargetMillis(TARGET_MILLIS);
        }
    }
}
