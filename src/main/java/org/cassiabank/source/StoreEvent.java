package org.cassiabank.source;

import java.util.Objects;

/**
 * A change of a key in the store.
 */
public sealed interface StoreEvent {

    /**
     * Returns the position in the history of the store at which the key changed.
     *
     * @return the position
     */
    StoreRevision revision();

    /**
     * A value was written.
     *
     * @param entry the key with its new value
     */
    record Written(StoreEntry entry) implements StoreEvent {

        /**
         * Checks that the entry is not null.
         *
         * @param entry the key with its new value, not null
         * @throws NullPointerException if the entry is null
         */
        public Written {
            Objects.requireNonNull(entry, "entry");
        }

        @Override
        public StoreRevision revision() {
            return entry.revision();
        }
    }

    /**
     * A key was removed, explicitly or because its lease ended.
     *
     * @param key the key
     * @param revision the position in the history of the store at which it was removed
     */
    record Removed(String key, StoreRevision revision) implements StoreEvent {

        /**
         * Checks that no component is null.
         *
         * @param key the key, not null
         * @param revision the position at which it was removed, not null
         * @throws NullPointerException if a component is null
         */
        public Removed {
            Objects.requireNonNull(key, "key");
            Objects.requireNonNull(revision, "revision");
        }
    }
}
