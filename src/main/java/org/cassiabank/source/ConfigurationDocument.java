package org.cassiabank.source;

import java.util.List;
import org.cassiabank.declaration.Declaration;

/**
 * A whole configuration as the store holds it.
 *
 * @param version the version, which grows with each change of the operators
 * @param declarations all declarations
 */
public record ConfigurationDocument(long version, List<Declaration> declarations) {

    /**
     * Checks the version and copies the declarations.
     */
    public ConfigurationDocument {
        declarations = List.copyOf(declarations);
        if (version < 1) {
            throw new IllegalArgumentException("version must be positive: " + version);
        }
    }
}
