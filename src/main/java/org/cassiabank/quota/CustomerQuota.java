package org.cassiabank.quota;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The use of one customer at all participants, as its coordinator knows it.
 *
 * <p>Two budgets limit what is granted. The window budget is what the bounds leave after the requests of the last
 * window, the unused requests of unexpired leases and the requests that participants without contact may run. It holds
 * always. The credit is a token bucket with the rate of the limit; it is in force only while it is low, so that a
 * customer far from its limit has room at every participant.
 */
final class CustomerQuota {
    static final long LEASE_MILLIS = 1_500;

    /**
     * A participant without contact keeps its part of the limit for this time. Without an end, the part of a process
     * that has ended for good would be reserved for ever.
     */
    static final long ENTITLEMENT_MILLIS = 120_000;

    /**
     * A participant without contact keeps this part of its share. What it keeps is reserved; with the whole share, the
     * end of the only participant would leave nothing to its successor until the instance list shows the end.
     */
    private static final double KEPT_PART = 0.5;

    /**
     * Near the limit this part of the slack is reserved in addition for participants before their first leases: with
     * limits of 2 requests a second, restarted participants exceeded the bound otherwise.
     */
    private static final double LIMITED_RESERVE = 0.25;

    /**
     * The part of what the bounds allow beyond the limit that is kept for participants that continue after a pause,
     * whose clocks do not show that their leases have expired.
     */
    private static final double PAUSE_RESERVE = 0.06;

    /** Below this part of its capacity, the credit limits the leases. */
    private static final double LOW_CREDIT = 0.25;

    /** Excess is compensated for within this time. */
    private static final double COMPENSATION_SECONDS = 2;

    /** The rest of the window budget remains for participants whose demand rises before the others report. */
    private static final double DISTRIBUTED_PART = 0.7;

    /** The part of the leases that follows recent demand; the rest is equal, for demand that moves. */
    private static final double DEMAND_PART = 0.7;

    /** A participant gets at most this multiple of what it is expected to use before its next report. */
    private static final double USEFUL_FACTOR = 3;

    /** The part of the leases that a participant without known demand may get, for demand that moves to it. */
    private static final double UNEXPECTED_PART = 0.1;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final QuotaBounds bounds;
    private final RecentUse recent;
    private final Map<String, LeaseHolder> holders = new HashMap<>();
    private CustomerLimit limit;
    private double credit;
    private long updatedAtMillis;
    private boolean first;
    private int liveProxies;

    CustomerQuota(QuotaBounds bounds, CustomerLimit limit, long nowMillis) {
        this.bounds = bounds;
        this.limit = limit;
        this.recent = new RecentUse(bounds.windowMillis());
        this.updatedAtMillis = nowMillis;
    }

    /** Applies the state of the fleet; {@code nowFirst} is false for a deputy and for a new coordinator. */
    void update(CustomerLimit newLimit, Set<String> liveNames, boolean nowFirst, long nowMillis) {
        limit = newLimit;
        liveProxies = liveNames.size();
        for (LeaseHolder holder : holders.values()) {
            if (holder.isLost(nowMillis)) {
                recent.add(holder.bookUnreported(), nowMillis);
            }
        }
        holders.entrySet()
                .removeIf(entry -> entry.getValue().isLost(nowMillis)
                        && (!liveNames.contains(entry.getKey())
                                || entry.getValue().lostMillis(nowMillis) > ENTITLEMENT_MILLIS));
        if (nowFirst && !first) {
            first = true;
            credit = capacity();
        }
        first = nowFirst;
        double earned = Math.max(0, nowMillis - updatedAtMillis) * availableRate(nowMillis) / MILLIS_PER_SECOND;
        credit = Math.min(capacity(), credit + earned);
        updatedAtMillis = nowMillis;
    }

    Optional<QuotaLease> exchange(String participant, long incarnation, QuotaUse use, long number, long nowMillis) {
        LeaseHolder holder = recordUse(participant, incarnation, use, nowMillis);
        if (use.ended()) {
            holders.remove(participant);
            return Optional.of(new QuotaLease(use.customer(), number, use.total(), true, 0, 0, 0));
        }
        if (!first && use.holdsLease() && !holder.hasLease()) {
            // Until its lease has expired, the former coordinator reserves nothing else for the participant.
            return Optional.empty();
        }
        boolean open = first && credit > LOW_CREDIT * capacity();
        double windowBudget = windowBudget(open, nowMillis);
        double weight = weight(holder);
        long wanted;
        if (open) {
            double distributed = Math.max(0, windowBudget - holders.size()) * DISTRIBUTED_PART;
            double expected = holder.demandPerSecond() * QuotaParticipant.REPORT_INTERVAL_MILLIS / MILLIS_PER_SECOND;
            double useful = Math.max(distributed * UNEXPECTED_PART, 1 + USEFUL_FACTOR * expected);
            wanted = 1 + (long) Math.min(useful, distributed * weight);
        } else {
            double perInterval = availableRate(nowMillis) * QuotaParticipant.REPORT_INTERVAL_MILLIS / MILLIS_PER_SECOND;
            wanted = holder.wholeRequests(Math.max(0, credit + perInterval) * weight);
        }
        double free = windowBudget - outstandingOfOthers(holder, nowMillis);
        long granted = Math.max(0, Math.min(wanted, (long) Math.floor(free)));
        double fallbackShare = first
                ? KEPT_PART * weight + (1 - KEPT_PART) / Math.max(holders.size(), liveProxies)
                : ownShare() * weight;
        holder.issue(number, use.total() + granted, fallbackShare, nowMillis + LEASE_MILLIS);
        return Optional.of(new QuotaLease(
                use.customer(),
                number,
                use.total() + granted,
                open,
                LEASE_MILLIS,
                fallbackShare,
                retryAfterMillis(free, nowMillis)));
    }

    private LeaseHolder recordUse(String participant, long incarnation, QuotaUse use, long nowMillis) {
        LeaseHolder known = holders.get(participant);
        if (known != null && known.incarnation() == incarnation) {
            long used = known.record(use, nowMillis);
            if (used >= 0) {
                // Use that was reported late counts only as far as it is of the last window.
                addUse(Math.min(used, use.usedInWindow()), nowMillis);
            } else {
                recent.takeBack(-used);
                credit = Math.min(capacity(), credit - used);
            }
            return known;
        }
        if (known != null) {
            // The former process can no longer report what it has used.
            addUse(known.outstanding(nowMillis), nowMillis);
        }
        LeaseHolder added = new LeaseHolder(incarnation, use, nowMillis);
        holders.put(participant, added);
        if (first) {
            addUse(use.usedInWindow(), nowMillis);
        } else {
            // The former coordinator has charged these requests; the credit of a deputy begins with the fallback rates.
            recent.add(use.usedInWindow(), nowMillis);
        }
        return added;
    }

    private void addUse(double requests, long nowMillis) {
        recent.add(requests, nowMillis);
        credit = Math.max(-COMPENSATION_SECONDS * limit.requestsPerSecond(), credit - requests);
    }

    /** Returns the requests that may run in addition to the recent ones, including those of unexpired leases. */
    private double windowBudget(boolean open, long nowMillis) {
        double allowed = bounds.maximumRequests(limit) - pauseReserve();
        if (first) {
            int unknown = Math.max(0, liveProxies - holders.size());
            allowed -= bounds.rateRequests(limit) * bounds.unleasedShare(liveProxies) * unknown
                    + Math.min(
                            bounds.unleasedRequestsOfAll(limit) + (open ? 0 : bounds.slack() * LIMITED_RESERVE),
                            unknown * bounds.unleasedRequests(limit, liveProxies));
        }
        return allowed - recent.sum(nowMillis) - lostRequests(nowMillis);
    }

    /** Returns the requests that participants may run with old leases when they continue after a pause. */
    private double pauseReserve() {
        return PAUSE_RESERVE
                * (bounds.maximumRequests(limit)
                        - limit.burst()
                        - bounds.windowMillis() * limit.requestsPerSecond() / MILLIS_PER_SECOND);
    }

    /** Returns the requests that participants without contact may run until a lease that is granted now expires. */
    private double lostRequests(long nowMillis) {
        double requests = 0;
        for (LeaseHolder holder : holders.values()) {
            if (holder.isLost(nowMillis)) {
                long millis = Math.min(bounds.windowMillis(), holder.lostMillis(nowMillis) + LEASE_MILLIS);
                requests += 1 + holder.fallbackShare() * limit.requestsPerSecond() * millis / MILLIS_PER_SECOND;
            }
        }
        return requests;
    }

    private double outstandingOfOthers(LeaseHolder receiver, long nowMillis) {
        double requests = 0;
        for (LeaseHolder holder : holders.values()) {
            if (holder != receiver) {
                requests += holder.outstanding(nowMillis);
            }
        }
        return requests;
    }

    private double availableRate(long nowMillis) {
        double lostShare = 0;
        for (LeaseHolder holder : holders.values()) {
            if (holder.isLost(nowMillis)) {
                lostShare += holder.fallbackShare();
            }
        }
        return limit.requestsPerSecond() * Math.max(0, ownShare() - lostShare);
    }

    /** Returns the part of the limit that this coordinator may distribute: what the participants present, or all. */
    private double ownShare() {
        double presented = 0;
        if (!first) {
            for (LeaseHolder holder : holders.values()) {
                presented += holder.fallbackShare();
            }
        }
        return first ? 1 : Math.min(1, presented);
    }

    private double capacity() {
        return first
                ? bounds.maximumRequests(limit) - bounds.rateRequests(limit)
                : holders.size() + limit.requestsPerSecond() * ownShare();
    }

    private double weight(LeaseHolder holder) {
        double sum = 0;
        for (LeaseHolder other : holders.values()) {
            sum += other.demandPerSecond();
        }
        double byDemand = sum > 0 ? holder.demandPerSecond() / sum : 1.0 / holders.size();
        return DEMAND_PART * byDemand + (1 - DEMAND_PART) / holders.size();
    }

    private long retryAfterMillis(double free, long nowMillis) {
        double creditMillis = Math.max(0, 1 - credit) * MILLIS_PER_SECOND / Math.max(1e-3, availableRate(nowMillis));
        long windowMillis = free >= 1 ? 0 : recent.millisUntilGone(1 - free, nowMillis);
        // A coordinator that has just begun grants the whole limit after one lease time.
        return (long) Math.min(
                first ? bounds.windowMillis() : LEASE_MILLIS,
                Math.max(QuotaParticipant.REPORT_INTERVAL_MILLIS, Math.max(creditMillis, windowMillis)));
    }

    boolean isIdle(long nowMillis) {
        return holders.isEmpty() && recent.sum(nowMillis) == 0;
    }
}
