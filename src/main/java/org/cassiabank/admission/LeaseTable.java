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
 * The leases of a shard. Adding and removing a lease also counts it at its server.
 */
final class LeaseTable {
    private final Map<Long, Lease> leases = new LinkedHashMap<>();
    private final TreeSet<Lease> byExpiry =
            new TreeSet<>(Comparator.comparingLong(Lease::expiresAt).thenComparingLong(Lease::number));
    private long lastNumber;

    Lease grant(Ticket ticket, ServerState server, boolean longWork, long expiresAt, long nowMillis) {
        Lease lease = new Lease(++lastNumber, ticket, server, longWork, expiresAt, nowMillis);
        server.grant(longWork, lease.number(), nowMillis);
        leases.put(lease.number(), lease);
        byExpiry.add(lease);
        return lease;
    }

    Optional<Lease> release(long number) {
        Lease lease = leases.remove(number);
        if (lease == null) {
            return Optional.empty();
        }
        byExpiry.remove(lease);
        lease.server().release(lease.isLong());
        return Optional.of(lease);
    }

    /**
     * Frees the slots of leases that were not reported in time. The server knows the deadline of the request and has
     * given up on it; if it has not, it sheds the next request and is backed off.
     */
    void expire(long nowMillis) {
        while (!byExpiry.isEmpty() && byExpiry.first().expiresAt() <= nowMillis) {
            release(byExpiry.first().number());
        }
    }

    void releaseIf(Predicate<Lease> condition) {
        leases.values().stream().filter(condition).toList().forEach(lease -> release(lease.number()));
    }

    void reclassify(Predicate<Lease> isLong) {
        for (Lease lease : leases.values()) {
            boolean longWork = isLong.test(lease);
            if (longWork != lease.isLong()) {
                lease.setLong(longWork);
                lease.server().changeClass(longWork);
            }
        }
    }

    Collection<Lease> all() {
        return Collections.unmodifiableCollection(leases.values());
    }
}
