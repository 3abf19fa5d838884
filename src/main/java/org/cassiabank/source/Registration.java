package org.cassiabank.source;

import java.util.Objects;
import java.util.OptionalLong;

/**
 * Keeps the entry of this daemon in the store under a lease, so that its peers find it and forget it when it is gone.
 *
 * <p>Instances are used by one thread.
 */
final class Registration {
    /** Covers two lost renewals and the start of another; a daemon that is gone is listed for this long at most. */
    static final long LEASE_MILLIS = 8_000;

    /**
     * A renewal also shows whether the store can still be reached while the other call waits for changes. With the
     * timeout of a call, connections that went silent are noticed after 3 s, the time after which changes have to be in
     * force in time again.
     */
    static final long RENEWAL_MILLIS = 1_500;

    private final MetadataStore store;
    private final String key;
    private final byte[] value;
    private OptionalLong lease = OptionalLong.empty();

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
     * Renews the lease, or registers anew if the lease has ended or the entry is missing.
     *
     * @param listed whether the entry is in the store as far as this daemon knows
     * @return true if the entry had to be written
     * @throws org.cassiabank.kernel.CassiabankException if the store does not answer; to be called again then
     */
    boolean renew(boolean listed) {
        boolean alive = lease.isPresent() && store.renewLease(lease.getAsLong());
        if (alive && listed) {
            return false;
        }
        if (!alive) {
            lease = OptionalLong.empty();
            lease = OptionalLong.of(store.grantLease(LEASE_MILLIS));
        }
        if (!store.put(key, value, lease.getAsLong())) {
            lease = OptionalLong.empty();
        }
        return true;
    }

    /** Removes the entry. */
    void end() {
        if (lease.isPresent()) {
            long ended = lease.getAsLong();
            lease = OptionalLong.empty();
            store.endLease(ended);
        }
    }
}
