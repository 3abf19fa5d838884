package org.cassiabank.declaration;

import java.util.Comparator;
import java.util.Objects;

/**
 * Identifies one entity of a configuration. Keys are ordered by kind, then by name.
 *
 * @param kind the kind of the entity
 * @param name the name, unique among the entities of the kind
 */
public record EntityKey(EntityKind kind, String name) implements Comparable<EntityKey> {
    private static final Comparator<EntityKey> BY_KIND_AND_NAME =
            Comparator.comparing(EntityKey::kind).thenComparing(EntityKey::name);

    /**
     * Checks that no component is null.
     */
    public EntityKey {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(name, "name");
    }

    @Override
    public int compareTo(EntityKey other) {
        return BY_KIND_AND_NAME.compare(this, other);
    }

    /**
     * Returns the key as the dotted name of a table in files.
     *
     * @return for example {@code service.menu}
     */
    @Override
    public String toString() {
        return kind.keyword() + "." + name;
    }
}
