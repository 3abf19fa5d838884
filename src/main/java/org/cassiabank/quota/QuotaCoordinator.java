package org.cassiabank.quota;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Function;

/**
 * Distributes the limits of customers to the participants that report their use.
 *
 * <p>The load that it addresses is a customer whose requests arrive at many daemons at once, in parts that change.
 * Instances are not thread-safe.
 */
public final class QuotaCoordinator {
    private final QuotaBounds bounds;
    private final Map<String, CustomerQuota> quotaByCustomer = new HashMap<>();
    private Function<String, Optional<CustomerLimit>> limits = customer -> Optional.empty();
    private Set<String> liveNames = Set.of();
    private long lastLeaseNumber;

    private QuotaCoordinator(QuotaBounds bounds, long lastLeaseNumber) {
        this.bounds = Objects.requireNonNull(bounds, "bounds");
        this.lastLeaseNumber = lastLeaseNumber;
    }

    /**
     * Creates a coordinator without limits.
     *
     * @param bounds the bounds of all limits
     * @param firstLeaseNumber larger than the numbers that earlier processes of this daemon used
     * @return the coordinator
     */
    public static QuotaCoordinator create(QuotaBounds bounds, long firstLeaseNumber) {
        return new QuotaCoordinator(bounds, firstLeaseNumber);
    }

    /**
     * Replaces the limits and the list of daemons.
     *
     * @param newLimits the limit of a customer by its name, empty if it is not limited
     * @param newLiveNames the names of the live proxies
     */
    public void update(Function<String, Optional<CustomerLimit>> newLimits, Set<String> newLiveNames) {
        limits = Objects.requireNonNull(newLimits, "newLimits");
        liveNames = Set.copyOf(newLiveNames);
        quotaByCustomer.keySet().removeIf(customer -> newLimits.apply(customer).isEmpty());
    }

    /**
     * Records the use of a participant and renews its leases.
     *
     * @param report the report
     * @param firstSince the time since which this daemon is the first proxy in the order of a customer, in
     *     milliseconds; empty if it is a deputy
     * @param nowMillis the current time in milliseconds
     * @return at most one lease for each customer that has a limit
     */
    public List<QuotaLease> exchange(QuotaReport report, Function<String, OptionalLong> firstSince, long nowMillis) {
        List<QuotaLease> leases = new ArrayList<>(report.uses().size());
        for (QuotaUse use : report.uses()) {
            Optional<CustomerLimit> limit = limits.apply(use.customer());
            if (limit.isPresent()) {
                CustomerQuota quota = quotaByCustomer.computeIfAbsent(
                        use.customer(), customer -> new CustomerQuota(bounds, limit.get(), nowMillis));
                OptionalLong since = firstSince.apply(use.customer());
                // Leases of a former coordinator have expired only after a whole lease time.
                boolean first = since.isPresent() && nowMillis - since.getAsLong() >= CustomerQuota.LEASE_MILLIS;
                quota.update(limit.get(), liveNames, first, nowMillis);
                quota.exchange(report.participant(), report.incarnation(), use, ++lastLeaseNumber, nowMillis)
                        .ifPresent(leases::add);
            }
        }
        return leases;
    }

    /**
     * Forgets customers that no participant uses any more.
     *
     * @param nowMillis the current time in milliseconds
     */
    public void removeIdle(long nowMillis) {
        quotaByCustomer.values().removeIf(quota -> quota.isIdle(nowMillis));
    }
}
