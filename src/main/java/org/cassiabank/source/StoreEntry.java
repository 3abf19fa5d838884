package org.cassiabank.source;

import java.util.Objects;

/**
 * A key of the store with its value.
 *
 * @param key the key
 * @param value the value; not copied
 * @param revision the position in the history of the store at which the value was written
 */
public record StoreEntry(String key, byte[] value, StoreRevision revision) {

    /**
     * Checks that no component is null.
     *
     * @throws NullPointerException if a component is null
     */
    public StoreEntry {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(value, "value");
        Objects.requireNonNull(revision, "revision");
    }
}
