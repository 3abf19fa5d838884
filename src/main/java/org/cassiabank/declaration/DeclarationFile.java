package org.cassiabank.declaration;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalInt;

/**
 * The declarations of one file and the lines of their keys.
 *
 * @param source the name of the file
 * @param declarations the declarations, grouped by kind and otherwise in file order
 * @param lines the line of each dotted key, for example of {@code service.menu.slots}, counted from 1
 */
public record DeclarationFile(String source, List<Declaration> declarations, Map<String, Integer> lines) {

    /**
     * Copies the collections and checks that no component is null.
     */
    public DeclarationFile {
        Objects.requireNonNull(source, "source");
        declarations = List.copyOf(declarations);
        lines = Map.copyOf(lines);
    }

    /**
     * Finds the line of a key or of the innermost enclosing table that has a line.
     *
     * @param key the dotted key
     * @return the line, counted from 1, or empty if the file has neither the key nor an enclosing table
     */
    public OptionalInt lineOf(String key) {
        return lineOf(lines, key);
    }

    static OptionalInt lineOf(Map<String, Integer> lines, String key) {
        String candidate = key;
        while (true) {
            Integer line = lines.get(candidate);
            if (line != null) {
                return OptionalInt.of(line);
            }
            int dot = candidate.lastIndexOf('.');
            if (dot < 0) {
                return OptionalInt.empty();
            }
            candidate = candidate.substring(0, dot);
        }
    }
}
