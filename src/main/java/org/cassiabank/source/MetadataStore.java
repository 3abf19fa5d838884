package org.cassiabank.source;

import java.util.Optional;

/**
 * A store of versioned entries with prefix reads, prefix watches and leases.
 *
 * <p>Every method throws {@link org.cassiabank.kernel.CassiabankException} with {@link
 * org.cassiabank.kernel.ErrorCode#STORE_UNAVAILABLE} if the store does not answer or refuses the call. After such an
 * exception a write may have taken effect, or may do so seconds later.
 */
public interface MetadataStore {

    /**
     * Reads one page of the keys with a prefix.
     *
     * @param prefix the prefix
     * @param after the key after which the page begins, empty for the first page
     * @return the page
     */
    StorePage list(String prefix, String after);

    /**
     * Waits for changes of the keys with a prefix.
     *
     * @param prefix the prefix, empty for all keys
     * @param afterRevision the revision after which changes count
     * @param waitMillis the longest wait in milliseconds
     * @return the changes, or empty if the store no longer has all changes after the revision
     */
    Optional<StoreWatchResult> watch(String prefix, long afterRevision, long waitMillis);

    /**
     * Creates a lease.
     *
     * @param millis the time in milliseconds after which the lease ends unless it is renewed
     * @return the identifier of the lease
     */
    long grantLease(long millis);

    /**
     * Renews a lease.
     *
     * @param lease the identifier
     * @return false if the lease has ended
     */
    boolean renewLease(long lease);

    /**
     * Ends a lease and removes its keys.
     *
     * @param lease the identifier
     */
    void endLease(long lease);

    /**
     * Writes a key that is removed when a lease ends.
     *
     * @param key the key
     * @param value the value
     * @param lease the identifier of the lease
     * @return false if the lease has ended; nothing was written then
     */
    boolean put(String key, byte[] value, long lease);

    /**
     * Ends all calls under way and closes all connections. Called when a call timed out, because connections that were
     * opened over the same way may have gone silent with it.
     */
    void dropConnections();
}
