package org.cassiabank.quota;

import java.util.OptionalDouble;

/**
 * The requests of one customer at one participant, and its lease.
 */
final class CustomerUse {
    private static final double MILLIS_PER_SECOND = 1_000;

    /** An idle lease of a customer near its limit is kept for this number of windows. */
    private static final long IDLE_WINDOWS = 12;

    private final String customer;
    private final RecentUse recent;
    private final long windowMillis;
    private String coordinator = "";
    private long leaseNumber;
    private long ceiling;
    private long grantedTotal;
    private boolean open;
    private long expiresAtMillis;
    private long retryAtMillis;
    private OptionalDouble leasedFallbackShare = OptionalDouble.empty();
    private long total;
    private long refused;
    private double fallbackCredit;
    private long fallbackUpdatedAtMillis;
    private long lastUseMillis;
    private boolean ended;

    CustomerUse(String customer, QuotaBounds bounds, double fallbackCredit, long nowMillis) {
        this.customer = customer;
        this.recent = new RecentUse(bounds.windowMillis());
        this.windowMillis = bounds.windowMillis();
        this.fallbackCredit = fallbackCredit;
        this.fallbackUpdatedAtMillis = nowMillis;
        this.lastUseMillis = nowMillis;
    }

    String customer() {
        return customer;
    }

    /** Returns the entitlement of the latest lease, empty if the coordinator no longer reserves it. */
    OptionalDouble leasedFallbackShare(long nowMillis) {
        long endMillis = expiresAtMillis + CustomerQuota.ENTITLEMENT_MILLIS - CustomerQuota.LEASE_MILLIS;
        return nowMillis < endMillis ? leasedFallbackShare : OptionalDouble.empty();
    }

    boolean tryAcquire(double fallbackRate, long nowMillis) {
        lastUseMillis = nowMillis;
        ended = false;
        boolean granted;
        if (nowMillis < expiresAtMillis) {
            granted = total < ceiling;
            fallbackUpdatedAtMillis = nowMillis;
        } else {
            double earned = Math.max(0, nowMillis - fallbackUpdatedAtMillis) * fallbackRate / MILLIS_PER_SECOND;
            fallbackCredit = Math.max(fallbackCredit, Math.min(1, fallbackCredit + earned));
            fallbackUpdatedAtMillis = nowMillis;
            granted = fallbackCredit >= 1;
            fallbackCredit -= granted ? 1 : 0;
        }
        if (granted) {
            total++;
            recent.add(1, nowMillis);
        } else {
            refused++;
        }
        return granted;
    }

    void release() {
        if (total > 0) {
            total--;
            recent.takeBack(1);
        }
    }

    long retryAfterMillis(double fallbackRate, long nowMillis) {
        if (nowMillis < expiresAtMillis) {
            return Math.max(1, retryAtMillis - nowMillis);
        }
        double missing = Math.max(0, 1 - fallbackCredit) * MILLIS_PER_SECOND / fallbackRate;
        // Before the first lease, the request is admitted as soon as a coordinator grants one.
        long longestMillis = leasedFallbackShare.isEmpty() ? CustomerQuota.LEASE_MILLIS : windowMillis;
        return Math.max(1, (long) Math.ceil(Math.min(missing, longestMillis)));
    }

    /** Returns why a request that was refused at this time had no room. */
    QuotaRefusalCause refusalCause(long nowMillis) {
        if (nowMillis < expiresAtMillis) {
            return QuotaRefusalCause.USED_LEASE;
        }
        return leasedFallbackShare.isEmpty() ? QuotaRefusalCause.BEFORE_LEASE : QuotaRefusalCause.EXPIRED_LEASE;
    }

    boolean needsLease() {
        return leaseNumber == 0 || open && (refused > 0 || 2 * (ceiling - total) < ceiling - grantedTotal);
    }

    boolean hasEnded() {
        return ended;
    }

    QuotaUse report(String receiver, double fallbackShare, long nowMillis) {
        // The requests of an unused lease are needed elsewhere if the demand is spread thinly. Near the limit the lease
        // is kept, because a participant without one may run a request before it reports.
        long keepMillis = open ? CustomerQuota.LEASE_MILLIS : IDLE_WINDOWS * windowMillis;
        ended = nowMillis - lastUseMillis > keepMillis;
        if (ended) {
            expiresAtMillis = nowMillis;
            leasedFallbackShare = OptionalDouble.empty();
        }
        QuotaUse report = new QuotaUse(
                customer,
                receiver.equals(coordinator) ? leaseNumber : 0,
                total,
                (long) recent.sum(nowMillis),
                nowMillis < expiresAtMillis,
                refused,
                fallbackShare,
                ended);
        refused = 0;
        return report;
    }

    void apply(String sender, QuotaLease lease, long sentAtMillis, long nowMillis) {
        if (sender.equals(coordinator) && lease.number() <= leaseNumber) {
            return;
        }
        if (lease.leaseMillis() == 0) {
            // The coordinator has confirmed the end of the lease.
            leaseNumber = 0;
            return;
        }
        coordinator = sender;
        leaseNumber = lease.number();
        ceiling = lease.ceiling();
        grantedTotal = total;
        open = lease.open();
        expiresAtMillis = sentAtMillis + lease.leaseMillis();
        retryAtMillis = nowMillis + lease.retryAfterMillis();
        fallbackCredit = Math.min(1, fallbackCredit);
        leasedFallbackShare = OptionalDouble.of(lease.fallbackShare());
    }
}
