package org.cassiabank.proxy;

import com.google.common.flogger.FluentLogger;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.cassiabank.declaration.CustomerDeclaration;
import org.cassiabank.kernel.BackgroundTasks;
import org.cassiabank.kernel.CassiabankException;
import org.cassiabank.kernel.Kernel;
import org.cassiabank.kernel.KernelService;
import org.cassiabank.membership.Instance;
import org.cassiabank.peer.PeerCall;
import org.cassiabank.quota.CustomerLimit;
import org.cassiabank.quota.QuotaBounds;
import org.cassiabank.quota.QuotaCoordinator;
import org.cassiabank.quota.QuotaDecision;
import org.cassiabank.quota.QuotaLease;
import org.cassiabank.quota.QuotaParticipant;
import org.cassiabank.quota.QuotaRefused;
import org.cassiabank.quota.QuotaReport;

/**
 * Keeps the limits of customers over all daemons: charges the requests that this daemon schedules, reports them to the
 * coordinators, and coordinates the customers for which it is the first reachable proxy.
 *
 * <p>Without a customer that has a limit, nothing is charged and nothing is sent. Instances are thread-safe.
 */
final class QuotaExchange implements KernelService, QuotaGate {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** A coordinator answers from memory; a reply that takes longer is overtaken by the next report. */
    private static final int CALL_TIMEOUT_MILLIS = 250;

    /** How often reports are looked for while there is use. */
    private static final long TICK_MILLIS = 20;

    private static final long CLEANUP_MILLIS = 1_000;

    /** A peer of a release that knows no quotas is asked again after this time. */
    private static final long UNSUPPORTED_MILLIS = 10_000;

    private final Instance self;
    private final FleetState fleet;
    private final PeerTransport peerTransport;
    private final ProxyMetrics metrics;
    private final CoordinatorOrder order;
    private final QuotaParticipant participant;
    private final QuotaCoordinator coordinator;
    private final QuotaRefusalLog refusalLog = new QuotaRefusalLog();
    private final Set<String> limitedCustomers = new HashSet<>();
    private final Map<String, Long> unsupportedUntilMillis = new ConcurrentHashMap<>();
    private final Set<String> awaitedPeers = ConcurrentHashMap.newKeySet();
    private final AtomicBoolean ticking = new AtomicBoolean();
    private final ExecutorService workers = Executors.newVirtualThreadPerTaskExecutor();
    private final ScheduledExecutorService timer = new ScheduledThreadPoolExecutor(
            1, Thread.ofPlatform().name("quotas").daemon().factory(), new ThreadPoolExecutor.DiscardPolicy());
    private volatile boolean hasLimits;

    private QuotaExchange(
            Instance self,
            FleetState fleet,
            PeerTransport peerTransport,
            ProxyMetrics metrics,
            QuotaBounds bounds,
            long incarnation) {
        this.self = self;
        this.fleet = fleet;
        this.peerTransport = peerTransport;
        this.metrics = metrics;
        this.order = new CoordinatorOrder(self.name(), MonotonicClock.millis());
        this.participant = QuotaParticipant.create(self.name(), incarnation, bounds);
        this.coordinator = QuotaCoordinator.create(bounds, incarnation * 1_000);
    }

    /**
     * Creates the exchange of a daemon.
     *
     * @param self this daemon
     * @param fleet the configuration and the instance list in force
     * @param peerTransport calls coordinators
     * @param metrics counts exchanges and refusals
     * @param bounds the bounds of all limits
     * @param incarnation larger than that of an earlier process of this daemon; the time of day in milliseconds
     * @return the exchange
     */
    static QuotaExchange create(
            Instance self,
            FleetState fleet,
            PeerTransport peerTransport,
            ProxyMetrics metrics,
            QuotaBounds bounds,
            long incarnation) {
        QuotaExchange exchange = new QuotaExchange(
                Objects.requireNonNull(self, "self"),
                Objects.requireNonNull(fleet, "fleet"),
                Objects.requireNonNull(peerTransport, "peerTransport"),
                Objects.requireNonNull(metrics, "metrics"),
                Objects.requireNonNull(bounds, "bounds"),
                incarnation);
        exchange.update(fleet.view(), fleet.view());
        fleet.addListener(exchange::update);
        metrics.registerGauge(
                "cassiabank_limited_customers",
                "Customers near their limit, of those that this daemon coordinates.",
                exchange::limitedCustomers);
        return exchange;
    }

    @Override
    public void start(Kernel kernel) {
        timer.scheduleWithFixedDelay(
                BackgroundTasks.guarded("quotas", this::removeIdle),
                CLEANUP_MILLIS,
                CLEANUP_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    @Override
    public void stop() {
        timer.shutdownNow();
        workers.shutdownNow();
    }

    @Override
    public QuotaDecision tryAcquire(String customer) {
        if (!hasLimits) {
            return QuotaGate.unlimited().tryAcquire(customer);
        }
        QuotaDecision decision;
        synchronized (participant) {
            decision = participant.tryAcquire(customer, MonotonicClock.millis());
        }
        if (decision instanceof QuotaRefused refused) {
            metrics.recordQuotaRefusal(refused.cause());
            refusalLog.record(customer, refused.cause(), MonotonicClock.millis());
        }
        if (ticking.compareAndSet(false, true)) {
            timer.execute(this::tickAndReschedule);
        }
        return decision;
    }

    @Override
    public void release(String customer) {
        synchronized (participant) {
            participant.release(customer);
        }
    }

    /**
     * Answers the report of a peer.
     *
     * @param report the report
     * @return its leases; none for customers that have no limit in the configuration in force here
     */
    List<QuotaLease> answer(QuotaReport report) {
        synchronized (coordinator) {
            List<QuotaLease> leases = coordinator.exchange(report, order::firstSince, MonotonicClock.millis());
            leases.forEach(this::reportChange);
            return leases;
        }
    }

    private void reportChange(QuotaLease lease) {
        if (lease.open() ? limitedCustomers.remove(lease.customer()) : limitedCustomers.add(lease.customer())) {
            LOGGER.atInfo().log(
                    lease.open()
                            ? "customer %s is far from its limit again; its requests are only counted"
                            : "customer %s is near its limit; its requests are limited by shares",
                    lease.customer());
        }
    }

    private void update(FleetView formerView, FleetView newView) {
        Function<String, Optional<CustomerLimit>> limits = name -> newView.configuration()
                .customer(name)
                .filter(CustomerDeclaration::isLimited)
                .map(customer -> new CustomerLimit(customer.requestsPerSecond(), customer.burst()));
        List<Instance> proxies = newView.liveProxies();
        order.update(proxies, MonotonicClock.millis());
        synchronized (participant) {
            participant.update(limits, proxies.size());
        }
        synchronized (coordinator) {
            coordinator.update(limits, proxies.stream().map(Instance::name).collect(Collectors.toSet()));
            limitedCustomers.removeIf(name -> limits.apply(name).isEmpty());
        }
        if (formerView == newView || formerView.configuration() != newView.configuration()) {
            hasLimits = newView.configuration().customers().stream().anyMatch(CustomerDeclaration::isLimited);
        }
    }

    private void removeIdle() {
        synchronized (coordinator) {
            coordinator.removeIdle(MonotonicClock.millis());
        }
    }

    private int limitedCustomers() {
        synchronized (coordinator) {
            return limitedCustomers.size();
        }
    }

    private void tickAndReschedule() {
        boolean active = true;
        try {
            active = sendReports();
        } catch (RuntimeException | Error failure) {
            BackgroundTasks.recordFailure("quotas", failure);
        }
        if (active) {
            timer.schedule(this::tickAndReschedule, TICK_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        ticking.set(false);
        // A request may have been charged after the last look.
        boolean idle;
        synchronized (participant) {
            idle = participant.isIdle();
        }
        if (!idle && ticking.compareAndSet(false, true)) {
            timer.schedule(this::tickAndReschedule, TICK_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** Sends the reports that are due; returns false if no customer with a limit has used this daemon. */
    private boolean sendReports() {
        Map<String, Instance> coordinators = new HashMap<>();
        List<QuotaReport> reports;
        synchronized (participant) {
            reports =
                    participant.report(customer -> chooseCoordinator(customer, coordinators), MonotonicClock.millis());
            if (participant.isIdle()) {
                return false;
            }
        }
        for (QuotaReport report : reports) {
            Instance receiver = coordinators.get(report.coordinator());
            if (receiver == null) {
                metrics.recordQuotaExchange("unreachable");
            } else if (peerTransport.isSelf(receiver)) {
                apply(report, answer(report), "local");
            } else if (awaitedPeers.add(receiver.name())) {
                workers.execute(() -> send(receiver, report));
            } else {
                // A report that overtakes an earlier one would give up leases that are in use.
                metrics.recordQuotaExchange("skipped");
            }
        }
        return true;
    }

    /** Returns the name of the first candidate that can be asked, or an empty name if none can. */
    private String chooseCoordinator(String customer, Map<String, Instance> coordinators) {
        for (Instance candidate : order.candidates(customer)) {
            boolean supported =
                    unsupportedUntilMillis.getOrDefault(candidate.name(), Long.MIN_VALUE) <= MonotonicClock.millis();
            if (peerTransport.isSelf(candidate) || supported && peerTransport.isReachable(candidate)) {
                coordinators.put(candidate.name(), candidate);
                return candidate.name();
            }
        }
        return "";
    }

    private void send(Instance receiver, QuotaReport report) {
        try {
            Optional<List<QuotaLease>> leases = peerTransport.call(
                    receiver,
                    "exchange-quotas",
                    CALL_TIMEOUT_MILLIS,
                    PeerCall.withResultIfUnknown(
                            client -> Optional.of(
                                    QuotaMessages.toLeases(client.exchangeQuotas(QuotaMessages.toMessage(report)))),
                            Optional.empty()));
            if (leases.isPresent()) {
                apply(report, leases.get(), "answered");
            } else {
                unsupportedUntilMillis.put(receiver.name(), MonotonicClock.millis() + UNSUPPORTED_MILLIS);
                metrics.recordQuotaExchange("unsupported");
            }
        } catch (CassiabankException exception) {
            metrics.recordQuotaExchange("unanswered");
            LOGGER.atFine().withCause(exception).log("%s did not answer exchange-quotas", receiver.name());
        } catch (RuntimeException | Error failure) {
            BackgroundTasks.recordFailure("quotas", failure);
        } finally {
            awaitedPeers.remove(receiver.name());
        }
    }

    private void apply(QuotaReport report, List<QuotaLease> leases, String result) {
        synchronized (participant) {
            participant.apply(report, leases, MonotonicClock.millis());
        }
        metrics.recordQuotaExchange(result);
    }
}
