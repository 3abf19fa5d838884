package org.cassiabank.source;

import java.util.List;
import org.cassiabank.declaration.Declaration;

/**
 * A whole configuration as the store holds it.
 *
 * @param revision the version, which grows with each change of the operators
 * @param declarations all declarations
 */
public record VersionedConfiguration(long revision, List<Declaration> declarations) {

    /**
     * Checks the version and copies the declarations.
     */
    public VersionedConfiguration {
        declarations = List.copyOf(declarations);
        if (revision < 1) {
            throw new IllegalArgumentException("version must be positive: " + revision);
        }
    }
}
