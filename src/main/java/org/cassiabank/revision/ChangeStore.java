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
     * Reads the value of a key.
     *
     * @param key the key
     * @return the value, or empty if the key does not exist
     */
    Optional<StoredValue> read(String key);

    /**
     * Creates a key if it does not exist.
     *
     * @param key the key
     * @param value the value, at most 1 MB
     * @return true if the key was created, false if it already existed
     */
    boolean create(String key, byte[] value);

    /**
     * Replaces the value of a key if the key has not been modified since it was read.
     *
     * @param key the key
     * @param index the modification index of the value that was read
     * @param value the new value, at most 1 MB
     * @return true if the value was replaced, false if it had changed
     */
    boolean compareAndSet(String key, long index, byte[] value);

    /**
     * Waits until the modification index of a key is higher than a given one.
     *
     * @param key the key
     * @param index the modification index of the value that was read last, 0 if the key did not exist
     * @param waitMillis the longest wait in milliseconds
     * @return the newer value, or empty if the time passed without one or the key does not exist
     */
    Optional<StoredValue> awaitChange(String key, long index, long waitMillis);
}
