package org.cassiabank.declaration;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A part of a TOML document: one table header with the lines up to the next header.
 *
 * <p>The TOML library reports no lines for values and stops at the first syntax error. Parsing each section on its own
 * lets one error hide no other, and the positions of the keys are recorded here.
 */
final class TomlSection {
    private final int firstLine;
    private final String header;
    private final StringBuilder text = new StringBuilder();
    private final Map<String, List<Integer>> keyLines = new LinkedHashMap<>();

    private TomlSection(int firstLine, String header) {
        this.firstLine = firstLine;
        this.header = header;
    }

    /**
     * Divides a document.
     *
     * @param document the text
     * @return the sections in order, the first one without header
     */
    static List<TomlSection> divide(String document) {
        List<TomlSection> sections = new ArrayList<>();
        TomlSection current = new TomlSection(1, "");
        sections.add(current);
        TomlNesting nesting = new TomlNesting();
        int number = 0;
        for (String line : document.split("\n", -1)) {
            number++;
            if (nesting.isOutside()) {
                String start = line.strip();
                if (start.startsWith("[")) {
                    String name = dottedKey(start.startsWith("[[") ? start.substring(2) : start.substring(1), ']');
                    current = new TomlSection(number, name);
                    sections.add(current);
                } else if (!start.isEmpty() && !start.startsWith("#")) {
                    String key = dottedKey(start, '=');
                    if (!key.isEmpty()) {
                        current.keyLines
                                .computeIfAbsent(current.qualified(key), ignored -> new ArrayList<>())
                                .add(number);
                    }
                }
            }
            nesting.read(line);
            current.text.append(line).append('\n');
        }
        return sections;
    }

    int firstLine() {
        return firstLine;
    }

    /** Returns the dotted name of the table, empty for the lines before the first header. */
    String header() {
        return header;
    }

    String text() {
        return text.toString();
    }

    /** Returns the lines on which each full key is defined. */
    Map<String, List<Integer>> keyLines() {
        return keyLines;
    }

    private String qualified(String key) {
        return header.isEmpty() ? key : header + "." + key;
    }

    /** Returns the dotted key at the start of a line, without quotes, or an empty text if no end character follows. */
    private static String dottedKey(String line, char end) {
        StringBuilder key = new StringBuilder();
        char quote = 0;
        for (int index = 0; index < line.length(); index++) {
            char next = line.charAt(index);
            if (quote != 0) {
                if (next == quote) {
                    quote = 0;
                } else {
                    key.append(next);
                }
            } else if (next == '"' || next == '\'') {
                quote = next;
            } else if (next == end) {
                return key.toString();
            } else if (!Character.isWhitespace(next)) {
                key.append(next);
            }
        }
        return "";
    }
}
