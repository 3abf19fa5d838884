package org.cassiabank.source;

import java.util.List;
import org.cassiabank.declaration.Declaration;

/**
 * A complete configuration from the store.
 *
 * @param revision the version, at least 1, which increases with each change by the operators
 * @param declarations all declarations of the configuration
 */
public record VersionedConfiguration(long revision, List<Declaration> declarations) {

    /**
     * Checks the revision and copies the declarations.
     *
     * @throws IllegalArgumentException if the revision is not positive
     */
    public VersionedConfiguration {
        declarations = List.copyOf(declarations);
        if (revision < 1) {
            throw new IllegalArgumentException("version must be positive: " + revision);
        }
    }
}
