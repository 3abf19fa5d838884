package org.cassiabank.source;

import java.util.Comparator;

/**
 * A position in the history of the store. A store that comes back from an older copy of its contents begins a new era,
 * in which it gives out again the numbers that the copy lacks; only the era and the number together are unique.
 *
 * @param era the era, 0 if the store names none
 * @param number the revision counter of the store within the era
 */
public record StoreRevision(long era, long number) implements Comparable<StoreRevision> {
    private static final StoreRevision NONE = new StoreRevision(0, 0);
    private static final Comparator<StoreRevision> ORDER =
            Comparator.comparingLong(StoreRevision::era).thenComparingLong(StoreRevision::number);

    /** Lists of one store revision that differ in the instances retained after an outage have consecutive indexes. */
    private static final int INDEX_BITS_PER_REVISION = 8;

    private static final int NUMBER_BITS = 40;

    /**
     * Checks that neither component is negative.
     *
     * @throws IllegalArgumentException if a component is negative
     */
    public StoreRevision {
        if (era < 0 || number < 0) {
            throw new IllegalArgumentException("negative revision: " + era + "/" + number);
        }
    }

    /**
     * Returns the position before the first entry of a store.
     *
     * @return the lowest position
     */
    public static StoreRevision none() {
        return NONE;
    }

    /**
     * Tells whether this position is later than another one.
     *
     * @param other the other position
     * @return true if the era is higher, or the number within the same era
     */
    public boolean isAfter(StoreRevision other) {
        return compareTo(other) > 0;
    }

    /**
     * Returns the later of two positions.
     *
     * @param other the other position
     * @return this position if it is not earlier than the other one
     */
    public StoreRevision latest(StoreRevision other) {
        return other.isAfter(this) ? other : this;
    }

    /**
     * Returns the lowest index of an instance list that was read at this position. Indexes rise with positions.
     *
     * @return the index
     */
    public long instanceListIndex() {
        return (era << NUMBER_BITS | number) << INDEX_BITS_PER_REVISION;
    }

    @Override
    public int compareTo(StoreRevision other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return era + "/" + number;
    }
}
