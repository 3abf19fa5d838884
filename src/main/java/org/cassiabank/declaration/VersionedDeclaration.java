package org.cassiabank.declaration;

import java.util.Objects;

/**
 * A declaration with the revision of the change that last wrote it.
 *
 * @param declaration the declaration
 * @param revision the revision, at least 1
 */
public record VersionedDeclaration(Declaration declaration, long revision) {

    /**
     * Checks the declaration and the revision.
     *
     * @throws IllegalArgumentException if the revision is below 1
     */
    public VersionedDeclaration {
        Objects.requireNonNull(declaration, "declaration");
        if (revision < 1) {
            throw new IllegalArgumentException("revision of " + declaration.key() + " is below 1: " + revision);
        }
    }
}
