package org.cassiabank.declaration;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cassiabank.collection.PersistentMap;

/**
 * Finds the customer that holds a key. Immutable.
 *
 * <p>Customers are indexed by the first 64 bits of the digests of their keys. The digests found there are compared in
 * constant time, so that the time of a lookup tells a caller nothing about the digest of a key that it does not have.
 */
public final class CustomerKeys {
    private static final CustomerKeys EMPTY = new CustomerKeys(Configuration.empty(), PersistentMap.empty(), 0);
    private static final int PREFIX_DIGITS = 16;
    private static final int HEXADECIMAL_RADIX = 16;

    private final Configuration configuration;
    private final PersistentMap<Long, List<CustomerDeclaration>> customersByDigestPrefix;
    private final int leastUrgentRank;

    private CustomerKeys(
            Configuration configuration,
            PersistentMap<Long, List<CustomerDeclaration>> customersByDigestPrefix,
            int leastUrgentRank) {
        this.configuration = configuration;
        this.customersByDigestPrefix = customersByDigestPrefix;
        this.leastUrgentRank = leastUrgentRank;
    }

    /**
     * Creates the lookup by indexing all customers of a configuration.
     *
     * @param configuration the configuration
     * @return the lookup
     */
    public static CustomerKeys of(Configuration configuration) {
        return EMPTY.withConfiguration(configuration);
    }

    /**
     * Finds the customers that hold a key of another one.
     *
     * @param customers the customers
     * @return one conflict for each key that a further customer holds, in the order of the customers
     */
    public static List<KeyConflict> findConflicts(Collection<CustomerDeclaration> customers) {
        Map<String, String> namesByDigest = new HashMap<>();
        List<KeyConflict> conflicts = new ArrayList<>();
        for (CustomerDeclaration customer : customers) {
            for (String digest : customer.keyDigests()) {
                String holder = namesByDigest.putIfAbsent(digest, customer.name());
                if (holder != null) {
                    conflicts.add(new KeyConflict(holder, customer.name()));
                }
            }
        }
        return List.copyOf(conflicts);
    }

    /**
     * Returns a lookup for another configuration. Customers that both configurations share are not indexed again.
     *
     * @param newConfiguration the configuration
     * @return the lookup; this one if the configuration is the same
     */
    public CustomerKeys withConfiguration(Configuration newConfiguration) {
        if (newConfiguration == configuration) {
            return this;
        }
        IndexBuilder builder = new IndexBuilder(customersByDigestPrefix);
        configuration
                .entitiesOfKind(EntityKind.CUSTOMER)
                .forEachDifference(newConfiguration.entitiesOfKind(EntityKind.CUSTOMER), (name, before, after) -> {
                    if (before != null) {
                        builder.remove((CustomerDeclaration) before.declaration());
                    }
                    if (after != null) {
                        builder.add((CustomerDeclaration) after.declaration());
                    }
                });
        // All customers are visited only if one that had the least urgent rank may have been the last one.
        int newLeastUrgentRank = builder.removedRank == leastUrgentRank && builder.addedRank < leastUrgentRank
                ? newConfiguration.customers().stream()
                        .mapToInt(CustomerKeys::rank)
                        .max()
                        .orElse(0)
                : Math.max(leastUrgentRank, builder.addedRank);
        return new CustomerKeys(newConfiguration, builder.customersByDigestPrefix, newLeastUrgentRank);
    }

    /**
     * Tells whether callers need keys, because at least one customer is declared.
     *
     * @return false if the configuration has no customers
     */
    public boolean areRequired() {
        return !configuration.customers().isEmpty();
    }

    /**
     * Finds the customer that holds a key.
     *
     * @param keyDigest the digest of the key as {@link CustomerDeclaration#keyDigest} returns it
     * @return the customer; empty if none holds the key, or if two do, which a valid configuration rules out
     */
    public Optional<CustomerDeclaration> find(String keyDigest) {
        byte[] soughtDigest = keyDigest.getBytes(StandardCharsets.US_ASCII);
        List<CustomerDeclaration> found = new ArrayList<>(1);
        for (CustomerDeclaration customer : customersByDigestPrefix.getOrDefault(prefix(keyDigest), List.of())) {
            boolean holdsKey = false;
            for (String digest : customer.keyDigests()) {
                holdsKey |= MessageDigest.isEqual(soughtDigest, digest.getBytes(StandardCharsets.US_ASCII));
            }
            if (holdsKey) {
                found.add(customer);
            }
        }
        return found.size() == 1 ? Optional.of(found.getFirst()) : Optional.empty();
    }

    /**
     * Returns the least urgent rank of a customer. Requests without a customer get it, so that no caller gains urgency
     * by leaving out its key.
     *
     * @return the highest declared rank, 0 if no customer declares one
     */
    public int leastUrgentRank() {
        return leastUrgentRank;
    }

    private static int rank(CustomerDeclaration customer) {
        return customer.urgencyRank().orElse(0);
    }

    private static long prefix(String keyDigest) {
        return Long.parseUnsignedLong(keyDigest, 0, PREFIX_DIGITS, HEXADECIMAL_RADIX);
    }

    /** Collects the changes of one update of the index. */
    private static final class IndexBuilder {
        private PersistentMap<Long, List<CustomerDeclaration>> customersByDigestPrefix;
        /** The least urgent ranks of the removed and of the added customers. */
        private int removedRank;

        private int addedRank;

        IndexBuilder(PersistentMap<Long, List<CustomerDeclaration>> customersByDigestPrefix) {
            this.customersByDigestPrefix = customersByDigestPrefix;
        }

        void remove(CustomerDeclaration customer) {
            removedRank = Math.max(removedRank, rank(customer));
            for (String digest : customer.keyDigests()) {
                long prefix = prefix(digest);
                List<CustomerDeclaration> others = customersByDigestPrefix.getOrDefault(prefix, List.of()).stream()
                        .filter(other -> !other.name().equals(customer.name()))
                        .toList();
                customersByDigestPrefix = others.isEmpty()
                        ? customersByDigestPrefix.without(prefix)
                        : customersByDigestPrefix.with(prefix, others);
            }
        }

        void add(CustomerDeclaration customer) {
            addedRank = Math.max(addedRank, rank(customer));
            for (String digest : customer.keyDigests()) {
                long prefix = prefix(digest);
                List<CustomerDeclaration> customers =
                        new ArrayList<>(customersByDigestPrefix.getOrDefault(prefix, List.of()));
                // Two keys of one customer may begin with the same bits.
                if (!customers.contains(customer)) {
                    customers.add(customer);
                    customersByDigestPrefix = customersByDigestPrefix.with(prefix, List.copyOf(customers));
                }
            }
        }
    }
}
