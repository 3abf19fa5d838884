package org.cassiabank.revision;

import java.util.Optional;

/**
 * The part of the platform's key-value store that the configuration needs.
 *
 * <p>Every method throws {@link org.cassiabank.kernel.CassiabankException} with
 * {@link org.cassiabank.kernel.ErrorCode#STORE_UNAVAILABLE} if the store does not answer. After such an exception a
 * write may or may not have taken effect.
 */
public interface ChangeStore {

    /**
     * Reads a key.
     *
     * @param key the key
     * @return the value, or empty if the key does not exist
     */
    Optional<StoredValue> read(String key);

    /**
     * Creates a key that must not exist yet.
     *
     * @param key the key
     * @param value the value, at most 1 MB
     * @return true if the key was created, false if it existed
     */
    boolean create(String key, byte[] value);

    /**
     * Replaces a value that must not have changed.
     *
     * @param key the key
     * @param index the index at which the value was read
     * @param value the new value, at most 1 MB
     * @return true if the value was replaced, false if it had changed
     */
    boolean compareAndSet(String key, long index, byte[] value);

    /**
     * Waits until a key is newer than an index.
     *
     * @param key the key
     * @param index the index that is already known, 0 if the key did not exist
     * @param waitMillis the longest wait in milliseconds
     * @return the newer value, or empty if the wait ended first or the key still does not exist
     */
    Optional<StoredValue> awaitChange(String key, long index, long waitMillis);
}
