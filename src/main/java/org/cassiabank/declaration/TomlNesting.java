package org.cassiabank.declaration;

/** Tracks line by line whether a TOML document is inside a multi-line string, an array or an inline table. */
final class TomlNesting {
    /** The delimiter of the string that the document is inside, empty outside of strings. */
    private String openQuote = "";

    private int bracketDepth;

    /** Tells whether the next line starts a key, a header or a comment. */
    boolean isAtTopLevel() {
        return openQuote.isEmpty() && bracketDepth == 0;
    }

    /** Updates the nesting with the next line. */
    void readLine(String line) {
        int index = 0;
        boolean isHeader = isAtTopLevel() && line.stripLeading().startsWith("[");
        while (index < line.length()) {
            if (!openQuote.isEmpty()) {
                if (line.startsWith(openQuote, index)) {
                    index += openQuote.length();
                    openQuote = "";
                } else {
                    index += line.charAt(index) == '\\' && openQuote.startsWith("\"") ? 2 : 1;
                }
                continue;
            }
            char character = line.charAt(index);
            if (character == '#') {
                break;
            }
            if (character == '"' || character == '\'') {
                String quote = String.valueOf(character);
                openQuote = line.startsWith(quote.repeat(3), index) ? quote.repeat(3) : quote;
                index += openQuote.length();
                continue;
            }
            if (!isHeader && (character == '[' || character == '{')) {
                bracketDepth++;
            } else if (!isHeader && (character == ']' || character == '}')) {
                bracketDepth = Math.max(0, bracketDepth - 1);
            }
            index++;
        }
        // A string that is not delimited by three quotes ends with its line, so that an unclosed one is reported as a
        // syntax error of its own section only.
        if (openQuote.length() == 1) {
            openQuote = "";
        }
    }
}
