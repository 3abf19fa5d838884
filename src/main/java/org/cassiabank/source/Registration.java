package org.cassiabank.source;

import java.util.Objects;
import java.util.OptionalLong;

/**
 * Holds the entry of this daemon in the store under a lease, so that the entry expires when the daemon fails.
 *
 * <p>Instances are not thread-safe.
 */
final class Registration {
    /** Covers two lost renewals and the start of a third; a failed daemon stays listed for at most this long. */
    static final long LEASE_DURATION_MILLIS = 8_000;

    /**
     * A renewal also checks that the store is reachable while the watch call waits for changes. This interval and the
     * timeout of a call add up to 3 s until silent connections are detected, the time after which changes have to be in
     * force within their bound again.
     */
    static final long RENEWAL_INTERVAL_MILLIS = 1_500;

    private final MetadataStore store;
    private final String key;
    private final byte[] value;
    private OptionalLong leaseId = OptionalLong.empty();

    private Registration(MetadataStore store, String key, byte[] value) {
        this.store = store;
        this.key = key;
        this.value = value;
    }

    static Registration create(MetadataStore store, String key, byte[] value) {
        return new Registration(
                Objects.requireNonNull(store, "store"),
                Objects.requireNonNull(key, "key"),
                Objects.requireNonNull(value, "value"));
    }

    /**
     * Renews the lease, and writes the entry again if the lease has ended or the entry is missing.
     *
     * @param entryListed whether the entry was in the store when this daemon last read it
     * @return true if the entry was written; false if that was not needed, or if the store rejected it because the
     *     lease had ended, after which the next call creates a lease
     * @throws org.cassiabank.kernel.CassiabankException if the store is unavailable; the call can be repeated
     */
    boolean renew(boolean entryListed) {
        boolean leaseRenewed = leaseId.isPresent() && store.renewLease(leaseId.getAsLong());
        if (leaseRenewed && entryListed) {
            return false;
        }
        if (!leaseRenewed) {
            leaseId = OptionalLong.empty();
            leaseId = OptionalLong.of(store.grantLease(LEASE_DURATION_MILLIS));
        }
        boolean written = store.put(key, value, leaseId.getAsLong());
        if (!written) {
            leaseId = OptionalLong.empty();
        }
        return written;
    }

    /** Revokes the lease and so removes the entry; does nothing without a lease. */
    void remove() {
        if (leaseId.isPresent()) {
            long revokedLeaseId = leaseId.getAsLong();
            leaseId = OptionalLong.empty();
            store.revokeLease(revokedLeaseId);
        }
    }
}
