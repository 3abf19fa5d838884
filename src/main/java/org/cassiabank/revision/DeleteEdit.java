package org.cassiabank.revision;

import java.util.Objects;
import org.cassiabank.declaration.EntityKey;

/**
 * Removes an entity.
 *
 * @param key the key of the entity
 * @param readRevision the revision at which the entity was last changed when it was read, at least 1
 */
public record DeleteEdit(EntityKey key, long readRevision) implements Edit {

    /**
     * Creates an edit.
     *
     * @throws IllegalArgumentException if the read revision is below 1
     */
    public DeleteEdit {
        Objects.requireNonNull(key, "key");
        if (readRevision < 1) {
            throw new IllegalArgumentException("an entity that does not exist cannot be deleted: " + key);
        }
    }
}
