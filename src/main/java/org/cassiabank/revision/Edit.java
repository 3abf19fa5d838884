package org.cassiabank.revision;

import org.cassiabank.declaration.Configuration;
import org.cassiabank.declaration.EntityKey;
import org.cassiabank.declaration.VersionedDeclaration;

/**
 * One edit of a change: the whole new content of an entity, or its removal.
 */
public sealed interface Edit permits PutEdit, DeleteEdit {

    /**
     * Returns the key of the entity that is edited.
     *
     * @return the entity's key
     */
    EntityKey key();

    /**
     * Returns the revision at which the entity was last changed when the operator read it.
     *
     * @return the revision, 0 if the entity did not exist
     */
    long readRevision();

    /**
     * Tells whether the entity has not changed since the operator read it.
     *
     * @param configuration the current configuration
     * @return true if the entity was last changed at {@link #readRevision()}
     */
    default boolean isBasedOn(Configuration configuration) {
        return configuration.find(key()).map(VersionedDeclaration::revision).orElse(0L) == readRevision();
    }
}
