package org.cassiabank.declaration;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A part of a TOML document: one table header with the lines up to the next header.
 *
 * <p>The TOML library reports no lines for values and stops at the first syntax error. Each section is therefore parsed
 * on its own, so that no error hides another, and the lines of its keys are recorded here.
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
     * Splits a document at its table headers.
     *
     * @param document the text of the document
     * @return the sections in order, the first one without header
     */
    static List<TomlSection> split(String document) {
        List<TomlSection> sections = new ArrayList<>();
        TomlSection currentSection = new TomlSection(1, "");
        sections.add(currentSection);
        TomlNesting nesting = new TomlNesting();
        int lineNumber = 0;
        for (String line : document.split("\n", -1)) {
            lineNumber++;
            if (nesting.isAtTopLevel()) {
                String strippedLine = line.strip();
                if (strippedLine.startsWith("[")) {
                    String name = parseDottedKey(
                            strippedLine.startsWith("[[") ? strippedLine.substring(2) : strippedLine.substring(1), ']');
                    currentSection = new TomlSection(lineNumber, name);
                    sections.add(currentSection);
                } else if (!strippedLine.isEmpty() && !strippedLine.startsWith("#")) {
                    String key = parseDottedKey(strippedLine, '=');
                    if (!key.isEmpty()) {
                        currentSection
                                .keyLines
                                .computeIfAbsent(currentSection.qualifiedKey(key), ignored -> new ArrayList<>())
                                .add(lineNumber);
                    }
                }
            }
            nesting.readLine(line);
            currentSection.text.append(line).append('\n');
        }
        return sections;
    }

    /** Returns the line of the header in the document, counted from 1. */
    int firstLine() {
        return firstLine;
    }

    /** Returns the dotted name of the table, empty for the lines before the first header. */
    String header() {
        return header;
    }

    /** Returns the lines of the section, including the header. */
    String text() {
        return text.toString();
    }

    /** Returns the lines of the document, counted from 1, on which each dotted key is defined. */
    Map<String, List<Integer>> keyLines() {
        return keyLines;
    }

    private String qualifiedKey(String key) {
        return header.isEmpty() ? key : header + "." + key;
    }

    /** Returns the dotted key before the end character, without quotes; empty if the line has no end character. */
    private static String parseDottedKey(String line, char endCharacter) {
        StringBuilder key = new StringBuilder();
        char quote = 0;
        for (int index = 0; index < line.length(); index++) {
            char character = line.charAt(index);
            if (quote != 0) {
                if (character == quote) {
                    quote = 0;
                } else {
                    key.append(character);
                }
            } else if (character == '"' || character == '\'') {
                quote = character;
            } else if (character == endCharacter) {
                return key.toString();
            } else if (!Character.isWhitespace(character)) {
                key.append(character);
            }
        }
        return "";
    }
}
