package org.cassiabank.declaration;

import java.util.Comparator;
import java.util.Objects;

/**
 * Identifies one entity of the configuration.
 *
 * @param kind the kind
 * @param name the name, unique among the entities of the kind
 */
public record EntityKey(EntityKind kind, String name) implements Comparable<EntityKey> {
    private static final Comparator<EntityKey> ORDER =
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
        return ORDER.compare(this, other);
    }

    /**
     * Returns the key as it is written in files.
     *
     * @return for example {@code service.menu}
     */
    @Override
    public String toString() {
        return kind.keyword() + "." + name;
    }
}
