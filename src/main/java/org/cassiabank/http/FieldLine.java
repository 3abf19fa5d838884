package org.cassiabank.http;

import java.net.ProtocolException;
import java.util.regex.Pattern;

/**
 * A field line of a head or of trailers, as RFC 9112, section 5, permits it: neither folded nor with a blank before its
 * colon.
 *
 * @param name the name in the spelling of the server
 * @param value the value without the blanks and tabs around it, one character for each byte
 */
record FieldLine(String name, String value) {
    /** A byte of a value or a reason phrase, as a character class of regular expressions. */
    static final String TEXT = "[\\t\\x20-\\x7e\\x80-\\xff]";

    private static final String BLANKS = " \t";
    private static final Pattern TEXT_ONLY = Pattern.compile(TEXT + "*");

    /**
     * Parses a line.
     *
     * @param line the line without its end, one character for each byte
     * @return the field
     * @throws ProtocolException if the line is no field line
     */
    static FieldLine parse(String line) throws ProtocolException {
        int nameEnd = line.indexOf(':');
        if (nameEnd < 0 || !ResponseHeads.isToken(line.substring(0, nameEnd)) || !isText(line)) {
            throw invalid(line);
        }
        return new FieldLine(line.substring(0, nameEnd), withoutBlanksAround(line.substring(nameEnd + 1)));
    }

    /** Creates the exception for a line that is no field line. */
    static ProtocolException invalid(String line) {
        return new ProtocolException("no field line: [" + PrintableText.abbreviate(line) + "]");
    }

    private static String withoutBlanksAround(String text) {
        int start = 0;
        int end = text.length();
        while (start < end && BLANKS.indexOf(text.charAt(start)) >= 0) {
            start++;
        }
        while (end > start && BLANKS.indexOf(text.charAt(end - 1)) >= 0) {
            end--;
        }
        return text.substring(start, end);
    }

    /** Tells whether a text holds no control byte but tabs. */
    static boolean isText(String text) {
        return TEXT_ONLY.matcher(text).matches();
    }

    /** Tells whether the field declares a length or chunks. */
    boolean isFraming() {
        return name.equalsIgnoreCase(BodyEnd.CONTENT_LENGTH) || name.equalsIgnoreCase(BodyEnd.TRANSFER_ENCODING);
    }

    /** Returns the field for a log line. */
    String abbreviate() {
        return "[" + PrintableText.abbreviate(name + ": " + value) + "]";
    }
}
