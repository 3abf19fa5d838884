package org.cassiabank.source;

import java.util.Objects;

/**
 * A key of the store with its value.
 *
 * @param key the key
 * @param value the value; not copied
 * @param revision the revision of the store at which the value was written
 */
public record StoreEntry(String key, byte[] value, long revision) {

    /**
     * Checks that key and value are not null.
     *
     * @throws NullPointerException if the key or the value is null
     */
    public StoreEntry {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(value, "value");
    }
}
