package org.cassiabank.quota;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;

/**
 * Charges the requests of customers at one daemon against the leases of their coordinators.
 *
 * <p>The load that it addresses is a customer whose requests arrive at many daemons at once. Instances are not
 * thread-safe.
 */
public final class QuotaParticipant {
    /** How often use is reported, in milliseconds. */
    public static final long REPORT_INTERVAL_MILLIS = 400;

    /**
     * A participant that has used half of its lease reports earlier, so that demand that moves to it is served. At most
     * 10 messages a second go to one coordinator.
     */
    private static final long EARLY_REPORT_INTERVAL_MILLIS = 100;

    private final String name;
    private final long incarnation;
    private final QuotaBounds bounds;
    private final Map<String, CustomerUse> useByCustomer = new HashMap<>();
    private final Map<String, Long> lastReportMillisByCoordinator = new HashMap<>();
    private Function<String, Optional<CustomerLimit>> limits = customer -> Optional.empty();
    private int liveProxies = 1;

    private QuotaParticipant(String name, long incarnation, QuotaBounds bounds) {
        this.name = Objects.requireNonNull(name, "name");
        this.incarnation = incarnation;
        this.bounds = Objects.requireNonNull(bounds, "bounds");
    }

    /**
     * Creates a participant without limits.
     *
     * @param name the name of the daemon
     * @param incarnation differs between the processes of the daemon
     * @param bounds the bounds of all limits
     * @return the participant
     */
    public static QuotaParticipant create(String name, long incarnation, QuotaBounds bounds) {
        return new QuotaParticipant(name, incarnation, bounds);
    }

    /**
     * Replaces the limits, which are in force from the next request on.
     *
     * @param newLimits the limit of a customer by its name, empty if it is not limited
     * @param newLiveProxies the number of live proxies, at least 1
     */
    public void update(Function<String, Optional<CustomerLimit>> newLimits, int newLiveProxies) {
        limits = Objects.requireNonNull(newLimits, "newLimits");
        liveProxies = Math.max(1, newLiveProxies);
        useByCustomer.keySet().removeIf(customer -> newLimits.apply(customer).isEmpty());
    }

    /**
     * Charges a request that is about to be queued.
     *
     * @param customer the name of the customer
     * @param nowMillis the current time in milliseconds
     * @return whether the request may run
     */
    public QuotaDecision tryAcquire(String customer, long nowMillis) {
        Optional<CustomerLimit> limit = limits.apply(customer);
        if (limit.isEmpty()) {
            return new QuotaGranted(false);
        }
        CustomerUse use = useByCustomer.computeIfAbsent(
                customer,
                added -> new CustomerUse(added, bounds, bounds.unleasedRequests(limit.get(), liveProxies), nowMillis));
        double fallbackRate = fallbackShare(use, nowMillis) * limit.get().requestsPerSecond();
        return use.tryAcquire(fallbackRate, nowMillis)
                ? new QuotaGranted(true)
                : new QuotaRefused(use.retryAfterMillis(fallbackRate, nowMillis), use.refusalCause(nowMillis));
    }

    /**
     * Takes back the charge of a request that ended without having run.
     *
     * @param customer the name of the customer
     */
    public void release(String customer) {
        Optional.ofNullable(useByCustomer.get(customer)).ifPresent(CustomerUse::release);
    }

    /**
     * Returns the messages that are due.
     *
     * @param coordinators the name of the coordinator of a customer
     * @param nowMillis the current time in milliseconds
     * @return at most one message for each coordinator
     */
    public List<QuotaReport> report(Function<String, String> coordinators, long nowMillis) {
        Map<String, List<CustomerUse>> usesByCoordinator = new HashMap<>();
        for (CustomerUse use : useByCustomer.values()) {
            usesByCoordinator
                    .computeIfAbsent(coordinators.apply(use.customer()), coordinator -> new ArrayList<>())
                    .add(use);
        }
        lastReportMillisByCoordinator.keySet().retainAll(usesByCoordinator.keySet());
        List<QuotaReport> reports = new ArrayList<>();
        usesByCoordinator.forEach((coordinator, uses) -> {
            long sinceLast = nowMillis
                    - lastReportMillisByCoordinator.getOrDefault(coordinator, nowMillis - REPORT_INTERVAL_MILLIS);
            boolean early = uses.stream().anyMatch(CustomerUse::needsLease);
            if (sinceLast >= (early ? EARLY_REPORT_INTERVAL_MILLIS : REPORT_INTERVAL_MILLIS)) {
                lastReportMillisByCoordinator.put(coordinator, nowMillis);
                reports.add(new QuotaReport(
                        name,
                        incarnation,
                        coordinator,
                        nowMillis,
                        uses.stream()
                                .map(use -> use.report(coordinator, fallbackShare(use, nowMillis), nowMillis))
                                .toList()));
            }
        });
        return reports;
    }

    /**
     * Applies the reply to a report.
     *
     * @param report the report
     * @param leases the leases of the reply
     * @param nowMillis the current time in milliseconds
     */
    public void apply(QuotaReport report, List<QuotaLease> leases, long nowMillis) {
        for (QuotaLease lease : leases) {
            CustomerUse use = useByCustomer.get(lease.customer());
            if (use != null) {
                use.apply(report.coordinator(), lease, report.sentAtMillis(), nowMillis);
            }
        }
        for (QuotaUse reported : report.uses()) {
            CustomerUse use = useByCustomer.get(reported.customer());
            if (reported.ended() && use != null && use.hasEnded()) {
                useByCustomer.remove(reported.customer());
            }
        }
    }

    /**
     * Tells whether no customer with a limit has used this daemon lately.
     *
     * @return true if there is nothing to report
     */
    public boolean isIdle() {
        return useByCustomer.isEmpty();
    }

    /** Without any earlier lease, no coordinator reserves for this daemon: the overage has to cover its requests. */
    private double fallbackShare(CustomerUse use, long nowMillis) {
        return use.leasedFallbackShare(nowMillis).orElse(bounds.unleasedShare(liveProxies));
    }
}
