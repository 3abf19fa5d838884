package org.cassiabank.quota;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * What the coordinator of a customer knows of one participant.
 */
final class LeaseHolder {
    /** The weight of the latest report in the mean demand. */
    private static final double DEMAND_WEIGHT = 0.5;

    private static final double MILLIS_PER_SECOND = 1_000;
    private static final double MINIMUM_INTERVAL_MILLIS = 50;

    private final long incarnation;
    private final Deque<Issued> issued = new ArrayDeque<>();
    private long total;
    private long booked;
    private double demandPerSecond;
    private double carry;
    private double presentedShare;
    private long reportedAtMillis;
    private long expiresAtMillis;

    /** A lease that the participant may still use, because it has not applied a later one. */
    private record Issued(long number, long ceiling, double fallbackShare) {}

    LeaseHolder(long incarnation, QuotaUse use, long nowMillis) {
        this.incarnation = incarnation;
        this.total = use.total();
        this.presentedShare = use.fallbackShare();
        this.reportedAtMillis = nowMillis;
        this.expiresAtMillis = nowMillis;
        this.demandPerSecond = use.usedInWindow() > 0 ? 1 : 0;
    }

    long incarnation() {
        return incarnation;
    }

    /** Records a report and returns the requests to add to the recent use; negative if some have not run. */
    long record(QuotaUse use, long nowMillis) {
        long used = use.total() - total;
        double seconds = Math.max(MINIMUM_INTERVAL_MILLIS, nowMillis - reportedAtMillis) / MILLIS_PER_SECOND;
        double demand = Math.max(0, used + use.refused()) / seconds;
        demandPerSecond += DEMAND_WEIGHT * (demand - demandPerSecond);
        reportedAtMillis = nowMillis;
        total = use.total();
        presentedShare = use.fallbackShare();
        issued.removeIf(lease -> lease.number() < use.leaseNumber());
        long unbooked = used - booked;
        booked = 0;
        return unbooked;
    }

    /** Books what an expired lease left, which may have run without having been reported, and returns it. */
    long bookUnreported() {
        long unreported = Math.max(0, highestCeiling() - total - booked);
        booked += unreported;
        return unreported;
    }

    long outstanding(long nowMillis) {
        return nowMillis < expiresAtMillis ? Math.max(0, highestCeiling() - total) : 0;
    }

    private long highestCeiling() {
        return issued.stream().mapToLong(Issued::ceiling).max().orElse(total);
    }

    boolean isLost(long nowMillis) {
        return nowMillis >= expiresAtMillis && nowMillis > reportedAtMillis;
    }

    /** Returns how long the participant may have been without a lease, in milliseconds. */
    long lostMillis(long nowMillis) {
        return Math.max(0, nowMillis - expiresAtMillis);
    }

    double fallbackShare() {
        return Math.max(
                presentedShare,
                issued.stream().mapToDouble(Issued::fallbackShare).max().orElse(0));
    }

    double demandPerSecond() {
        return demandPerSecond;
    }

    long total() {
        return total;
    }

    /** Returns the whole requests of a share; the fraction is kept for the next lease. */
    long wholeRequests(double share) {
        double sum = share + carry;
        long whole = (long) Math.floor(sum);
        carry = sum - whole;
        return whole;
    }

    boolean hasLease() {
        return !issued.isEmpty();
    }

    void issue(long number, long ceiling, double fallbackShare, long validUntilMillis) {
        issued.addLast(new Issued(number, ceiling, fallbackShare));
        expiresAtMillis = validUntilMillis;
    }
}
