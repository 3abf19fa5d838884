package org.cassiabank.admission;

import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * The leases of a shard. Granting and releasing a lease also updates the lease count of its server.
 */
final class LeaseTable {
    private final Map<Long, Lease> leasesById = new LinkedHashMap<>();
    private final TreeSet<Lease> leasesByExpiry =
            new TreeSet<>(Comparator.comparingLong(Lease::expiresAtMillis).thenComparingLong(Lease::id));
    private long lastLeaseId;
    private long expiredLeases;

    Lease grant(
            Ticket ticket,
            ServerState server,
            boolean suspectTest,
            boolean longWork,
            long expiresAtMillis,
            long nowMillis) {
        Lease lease = new Lease(++lastLeaseId, ticket, server, suspectTest, longWork, expiresAtMillis, nowMillis);
        server.recordGrant(longWork, lease.id(), nowMillis);
        leasesById.put(lease.id(), lease);
        leasesByExpiry.add(lease);
        return lease;
    }

    Optional<Lease> find(long leaseId) {
        return Optional.ofNullable(leasesById.get(leaseId));
    }

    Optional<Lease> release(long leaseId) {
        Lease lease = leasesById.remove(leaseId);
        if (lease == null) {
            return Optional.empty();
        }
        leasesByExpiry.remove(lease);
        lease.server().recordRelease(lease.isLongWork(), lease.id());
        return Optional.of(lease);
    }

    /**
     * Releases the leases that were not reported before their expiry. The server receives the deadline with the request
     * and has stopped working on it by then; if it has not, it sheds the next request and is backed off.
     */
    void expire(long nowMillis) {
        while (!leasesByExpiry.isEmpty() && leasesByExpiry.first().expiresAtMillis() <= nowMillis) {
            release(leasesByExpiry.first().id());
            expiredLeases++;
        }
    }

    /** Returns how many leases have ended without a report. */
    long expiredLeases() {
        return expiredLeases;
    }

    void releaseIf(Predicate<Lease> condition) {
        leasesById.values().stream().filter(condition).toList().forEach(lease -> release(lease.id()));
    }

    void reclassify(Predicate<Lease> isLongWork) {
        for (Lease lease : leasesById.values()) {
            boolean longWork = isLongWork.test(lease);
            if (longWork != lease.isLongWork()) {
                lease.setLongWork(longWork);
                lease.server().recordCostClassChange(longWork);
            }
        }
    }

    Collection<Lease> all() {
        return Collections.unmodifiableCollection(leasesById.values());
    }
}
