package org.cassiabank.source;

import java.util.Optional;

/**
 * A store of versioned entries with prefix reads, prefix watches and leases.
 *
 * <p>Every method throws {@link org.cassiabank.kernel.CassiabankException} with {@link
 * org.cassiabank.kernel.ErrorCode#STORE_UNAVAILABLE} if the store does not respond or rejects the call. After such an
 * exception a write may have taken effect already, or may still take effect seconds later.
 */
public interface MetadataStore {

    /**
     * Reads one page of the entries whose keys start with a prefix.
     *
     * @param prefix the prefix
     * @param afterKey the last key of the previous page, which is excluded; empty for the first page
     * @return the page
     */
    StorePage list(String prefix, String afterKey);

    /**
     * Waits for changes of keys that start with a prefix.
     *
     * @param prefix the prefix, empty for all keys
     * @param afterRevision the revision after which changes are returned, exclusive
     * @param waitMillis the longest wait in milliseconds
     * @return the changes, or empty if the store has discarded changes after the revision
     */
    Optional<StoreWatchResult> watch(String prefix, long afterRevision, long waitMillis);

    /**
     * Creates a lease that expires unless it is renewed.
     *
     * @param durationMillis the time from the grant or a renewal to the expiry, in milliseconds
     * @return the identifier of the lease
     */
    long grantLease(long durationMillis);

    /**
     * Renews a lease for its full duration.
     *
     * @param leaseId the identifier of the lease
     * @return false if the lease has expired or was revoked
     */
    boolean renewLease(long leaseId);

    /**
     * Revokes a lease and removes its keys. A lease that has ended already is ignored.
     *
     * @param leaseId the identifier of the lease
     */
    void revokeLease(long leaseId);

    /**
     * Writes a key that the store removes when its lease ends.
     *
     * @param key the key
     * @param value the value
     * @param leaseId the identifier of the lease
     * @return false if the lease has ended, and nothing was written
     */
    boolean put(String key, byte[] value, long leaseId);

    /**
     * Cancels all pending calls and closes all connections. Called after a call timed out, because other connections on
     * the same network path may have stopped responding too.
     */
    void closeConnections();
}
