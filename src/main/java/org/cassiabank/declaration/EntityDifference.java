package org.cassiabank.declaration;

import java.util.List;
import java.util.Objects;

/**
 * An entity that differs between two configurations. The text of a difference is one line for operators.
 */
public sealed interface EntityDifference {

    /**
     * Returns the key of the entity.
     *
     * @return the kind and name
     */
    EntityKey key();

    /**
     * An entity that only the later configuration has.
     *
     * @param key the kind and name
     */
    record Added(EntityKey key) implements EntityDifference {
        @Override
        public String toString() {
            return "added " + key;
        }
    }

    /**
     * An entity that only the earlier configuration has.
     *
     * @param key the kind and name
     */
    record Removed(EntityKey key) implements EntityDifference {
        @Override
        public String toString() {
            return "removed " + key;
        }
    }

    /**
     * An entity that both configurations have, with different fields.
     *
     * @param key the kind and name
     * @param fields a text for each changed field with its earlier and later value; for the keys of customers, only
     *     the numbers of added and removed ones
     */
    record Changed(EntityKey key, List<String> fields) implements EntityDifference {

        /**
         * Copies the list.
         *
         * @param key the kind and name
         * @param fields a text for each changed field
         * @throws NullPointerException if a component is null
         */
        public Changed {
            Objects.requireNonNull(key, "key");
            fields = List.copyOf(fields);
        }

        @Override
        public String toString() {
            return "changed " + key + ": " + String.join(", ", fields);
        }
    }
}
