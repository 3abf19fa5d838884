package org.cassiabank.revision;

import java.util.Arrays;
import java.util.Objects;

/**
 * A value read from the store with the index of its last modification.
 *
 * @param value the bytes; not copied
 * @param index the modification index, as {@link ChangeStore#compareAndSet} needs it
 */
public record StoredValue(byte[] value, long index) {

    /**
     * Creates a stored value.
     *
     * @throws NullPointerException if the bytes are null
     */
    public StoredValue {
        Objects.requireNonNull(value, "value");
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof StoredValue that && index == that.index && Arrays.equals(value, that.value);
    }

    @Override
    public int hashCode() {
        return 31 * Arrays.hashCode(value) + Long.hashCode(index);
    }

    @Override
    public String toString() {
        return "StoredValue[" + value.length + " bytes at index " + index + "]";
    }
}
