package org.cassiabank.http;

/**
 * Makes bytes that another process chose fit for a log line.
 */
public final class PrintableText {
    private static final int MAXIMUM_CHARACTERS = 160;
    private static final char DELETE = 0x7f;

    private PrintableText() {}

    /**
     * Shortens a text and replaces all characters outside of printable ASCII, which could break or forge a line.
     *
     * @param text the text
     * @return the first {@value #MAXIMUM_CHARACTERS} characters; four hexadecimal digits stand for one that is not
     *     printable
     */
    public static String abbreviate(String text) {
        StringBuilder printable = new StringBuilder();
        text.chars().limit(MAXIMUM_CHARACTERS).forEach(character -> {
            if (character >= ' ' && character < DELETE) {
                printable.append((char) character);
            } else {
                printable.append(String.format("\\u%04x", character));
            }
        });
        if (text.length() > MAXIMUM_CHARACTERS) {
            printable.append("...");
        }
        return printable.toString();
    }
}
