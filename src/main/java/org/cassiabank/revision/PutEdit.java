package org.cassiabank.revision;

import java.util.Objects;
import org.cassiabank.declaration.Declaration;
import org.cassiabank.declaration.EntityKey;

/**
 * Adds an entity or replaces it as a whole.
 *
 * @param declaration the new content
 * @param readRevision the revision at which the entity was last changed when it was read, 0 if it did not exist
 */
public record PutEdit(Declaration declaration, long readRevision) implements Edit {

    /**
     * Creates an edit.
     *
     * @throws IllegalArgumentException if the read revision is negative
     */
    public PutEdit {
        Objects.requireNonNull(declaration, "declaration");
        if (readRevision < 0) {
            throw new IllegalArgumentException("read revision of " + declaration.key() + " is negative");
        }
    }

    @Override
    public EntityKey key() {
        return declaration.key();
    }
}
