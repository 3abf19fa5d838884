package org.cassiabank.declaration;

/** Tracks whether a TOML document is inside a string of several lines, an array or an inline table. */
final class TomlNesting {
    private String openString = "";
    private int depth;

    /** Tells whether the next line starts a key, a header or a comment. */
    boolean isOutside() {
        return openString.isEmpty() && depth == 0;
    }

    /** Reads one line. */
    void read(String line) {
        int index = 0;
        boolean header = isOutside() && line.stripLeading().startsWith("[");
        while (index < line.length()) {
            if (!openString.isEmpty()) {
                if (line.startsWith(openString, index)) {
                    index += openString.length();
                    openString = "";
                } else {
                    index += line.charAt(index) == '\\' && openString.startsWith("\"") ? 2 : 1;
                }
                continue;
            }
            char next = line.charAt(index);
            if (next == '#') {
                break;
            }
            if (next == '"' || next == '\'') {
                String quote = String.valueOf(next);
                openString = line.startsWith(quote.repeat(3), index) ? quote.repeat(3) : quote;
                index += openString.length();
                continue;
            }
            if (!header && (next == '[' || next == '{')) {
                depth++;
            } else if (!header && (next == ']' || next == '}')) {
                depth = Math.max(0, depth - 1);
            }
            index++;
        }
        // A string in single quotes ends with its line, so that an unclosed one is a local syntax error.
        if (openString.length() == 1) {
            openString = "";
        }
    }
}
