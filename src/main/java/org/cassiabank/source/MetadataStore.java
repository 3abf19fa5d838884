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
     * Returns the latest era that a response of the store has named, including responses to failed calls. The era rises
     * each time the store comes back from an older copy of its contents.
     *
     * @return the era, 0 before the first response or if the store names none
     */
    long era();

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
     * @param afterRevision the position after which changes are returned, exclusive
     * @param waitMillis the longest wait in milliseconds
     * @param replyMillis how long the response may take beyond the wait, in milliseconds. A call that takes longer
     *     fails with a {@link java.io.InterruptedIOException} as its cause, and the next one uses a new connection
     * @return the changes, or empty if the store has no complete history after the position. A store of a later era
     *     answers by the number alone, so the era of the result has to be compared
     */
    Optional<StoreWatchResult> watch(String prefix, StoreRevision afterRevision, long waitMillis, long replyMillis);

    /**
     * Creates a lease that expires unless it is renewed.
     *
     * @param durationMillis the time from the grant or a renewal to the expiry, in milliseconds
     * @return the lease
     */
    StoreLease grantLease(long durationMillis);

    /**
     * Renews a lease for its full duration.
     *
     * @param lease the lease
     * @return false if no lease has this identifier
     */
    boolean renewLease(StoreLease lease);

    /**
     * Writes a key that the store removes when its lease ends.
     *
     * @param key the key
     * @param value the value
     * @param lease the lease
     * @return false if the lease has ended, and nothing was written
     */
    boolean put(String key, byte[] value, StoreLease lease);

    /**
     * Removes a key. A key that does not exist is ignored.
     *
     * @param key the key
     */
    void remove(String key);

    /**
     * Cancels all pending calls and closes all connections. Called after a call timed out, because other connections on
     * the same network path may have stopped responding too.
     */
    void closeConnections();
}
