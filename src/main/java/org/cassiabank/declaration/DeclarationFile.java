package org.cassiabank.declaration;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalInt;

/**
 * The declarations of one file and the lines of their keys.
 *
 * @param source the name of the file
 * @param declarations the declarations in file order
 * @param lines the line of each key, for example of {@code service.menu.slots}
 */
public record DeclarationFile(String source, List<Declaration> declarations, Map<String, Integer> lines) {

    /**
     * Copies the collections.
     */
    public DeclarationFile {
        Objects.requireNonNull(source, "source");
        declarations = List.copyOf(declarations);
        lines = Map.copyOf(lines);
    }

    /**
     * Finds the line of a key or of the nearest table around it.
     *
     * @param key the dotted key
     * @return the line, counted from 1, or empty if the file does not mention the key
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
