package org.cassiabank.source;

import java.util.Objects;
import java.util.Optional;

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

    /** The time over which the daemons spread their writes when all of them register anew. */
    static final long REGISTRATION_SPREAD_MILLIS = 1_500;

    private final MetadataStore store;
    private final String key;
    private final byte[] value;
    private Optional<StoreLease> lease = Optional.empty();
    /** Whether the entry was written under {@link #lease} and the store confirmed it. */
    private boolean written;

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
     * Tells whether the store has come back from an older copy since the lease was granted. The lease may then belong
     * to another holder.
     *
     * @return true if the next renewal registers anew
     */
    boolean isOutdated() {
        return lease.isPresent() && lease.get().era() != store.era();
    }

    /**
     * Renews the lease, and writes the entry again if the lease has ended, the entry is missing or the store has come
     * back from an older copy.
     *
     * @param entryListed whether the entry was in the store when this daemon last read it
     * @return true if the entry was written; false if that was not needed, if the store rejected it because the lease
     *     had ended, or if the renewal showed that the registration is outdated, after which the next call creates a
     *     lease
     * @throws org.cassiabank.kernel.CassiabankException if the store is unavailable; the call can be repeated
     */
    boolean renew(boolean entryListed) {
        boolean renewed = lease.isPresent() && !isOutdated() && store.renewLease(lease.get());
        if (renewed && isOutdated()) {
            // The response is the first one of a new era; the caller decides when to register anew.
            return false;
        }
        if (renewed && written && entryListed) {
            return false;
        }
        written = false;
        if (!renewed) {
            lease = Optional.empty();
            lease = Optional.of(store.grantLease(LEASE_DURATION_MILLIS));
        }
        boolean accepted = store.put(key, value, lease.get());
        if (!accepted) {
            lease = Optional.empty();
        }
        written = accepted && !isOutdated();
        return written;
    }

    /**
     * Removes the entry; does nothing without a lease. The lease itself expires, because its identifier may have been
     * given to another holder.
     */
    void remove() {
        if (lease.isPresent()) {
            lease = Optional.empty();
            store.remove(key);
        }
    }
}
