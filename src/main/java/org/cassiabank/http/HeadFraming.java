package org.cassiabank.http;

import java.io.ByteArrayOutputStream;
import java.net.ProtocolException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Reads the lines of the heads before a body as the server sent them: those of interim responses and of the final one.
 *
 * <p>OkHttp drops interim heads, trims more than blanks and tabs from values, and reads numbers with a sign or in other
 * digits than ASCII. What it cannot read as the framing of a body counts as no framing at all. So this class decides: a
 * line that RFC 9112 does not permit ends the response before OkHttp reads it, and a body that OkHttp would delimit in
 * another way is refused.
 *
 * <p>A body without a declared length or chunks ends with its connection, as far as the {@link
 * EndOfConnectionAnnouncement} permits that.
 */
final class HeadFraming {
    /** RFC 9112, section 4. A server may omit the blank in front of an empty reason phrase. */
    private static final Pattern STATUS_LINE =
            Pattern.compile("HTTP/1\\.([01]) ([1-5][0-9]{2})(?: " + FieldLine.TEXT + "*)?");

    /** Each line is kept once more while it is examined, outside the memory that is counted for responses. */
    private static final int MAXIMUM_LINE_BYTES = 8_192;

    private static final int MAXIMUM_LENGTH_DIGITS = 18;
    private static final Pattern LENGTH = Pattern.compile("[0-9]{1," + MAXIMUM_LENGTH_DIGITS + "}");

    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    /** Whether the line is longer than what is kept of it. */
    private boolean lineAbbreviated;
    /** Whether a byte that is not permitted stands behind what is kept of the line. */
    private boolean restInvalid;
    /** Whether the last byte was a carriage return, which only the end of the line may hold. */
    private boolean carriageReturn;

    private boolean expectsStatusLine = true;
    private boolean interim;
    private boolean version10;
    private Optional<BodyEnd> declaredEnd = Optional.empty();
    private EndOfConnectionAnnouncement announcement = EndOfConnectionAnnouncement.none();

    private HeadFraming() {}

    /** Creates the reader of the heads before one body. */
    static HeadFraming create() {
        return new HeadFraming();
    }

    /**
     * Records bytes of a line of a head.
     *
     * @param bytes holds the bytes; a line feed is the last of them
     * @param offset the position of the first byte
     * @param length the number of bytes
     * @throws ProtocolException if the line is complete and not permitted where it stands
     * @throws ResponseTooLargeException if a status line, or a line of an interim head, exceeds 8,192 bytes
     */
    void recordLine(byte[] bytes, int offset, int length) throws ProtocolException, ResponseTooLargeException {
        for (int index = offset; index < offset + length; index++) {
            byte value = bytes[index];
            if (value == '\n') {
                carriageReturn = false;
                endLine();
                continue;
            }
            if (carriageReturn) {
                append((byte) '\r');
            }
            carriageReturn = value == '\r';
            if (!carriageReturn) {
                append(value);
            }
        }
    }

    /**
     * Compares how the end of the body is marked with what OkHttp has understood, after the final head.
     *
     * @param understoodEnd the end for OkHttp, which also knows the method of the request
     * @return why the body cannot be read to that end, or empty if it can
     */
    Optional<String> findContradiction(BodyEnd understoodEnd) {
        return switch (understoodEnd) {
            // Whether a declared end applies depends on the method and the status.
            case BodyEnd.Head headOnly -> Optional.empty();
            case BodyEnd.DeclaredLength length -> findOtherDeclaration(length);
            case BodyEnd.LastChunk lastChunk -> findOtherDeclaration(lastChunk);
            case BodyEnd.EndOfConnection endOfConnection -> findDoubtAboutEndOfConnection();
        };
    }

    private Optional<String> findOtherDeclaration(BodyEnd understoodEnd) {
        return declaredEnd.equals(Optional.of(understoodEnd))
                ? Optional.empty()
                : Optional.of("the end of the body is read as " + understoodEnd + ", but the head declares "
                        + declaredEnd.map(BodyEnd::toString).orElse("none"));
    }

    private Optional<String> findDoubtAboutEndOfConnection() {
        if (declaredEnd.isPresent()) {
            return Optional.of("the head declares " + declaredEnd.get() + ", which is not read");
        }
        return announcement.findDoubt();
    }

    private void append(byte value) throws ResponseTooLargeException {
        if (line.size() < MAXIMUM_LINE_BYTES) {
            line.write(value);
            return;
        }
        lineAbbreviated = true;
        restInvalid |= !FieldLine.isText(String.valueOf((char) (value & 0xff)));
        if (expectsStatusLine || interim) {
            throw ResponseTooLargeException.of("a line before the fields of the response exceeds " + MAXIMUM_LINE_BYTES
                    + " bytes: [" + PrintableText.abbreviate(text()) + "]");
        }
    }

    private String text() {
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    private void endLine() throws ProtocolException {
        String text = text();
        boolean abbreviated = lineAbbreviated;
        if (restInvalid) {
            throw FieldLine.invalid(text);
        }
        line.reset();
        lineAbbreviated = false;
        if (interim && ResponseHeads.STATUS_LINE.matcher(text).find(expectsStatusLine ? 1 : 0)) {
            throw new ProtocolException("another response begins inside the head of an interim response: ["
                    + PrintableText.abbreviate(text) + "]");
        }
        if (expectsStatusLine) {
            beginHead(text);
        } else if (text.isEmpty()) {
            expectsStatusLine = interim;
        } else {
            recordField(FieldLine.parse(text), abbreviated);
        }
    }

    private void beginHead(String text) throws ProtocolException {
        Matcher statusLine = STATUS_LINE.matcher(text);
        if (!statusLine.matches()) {
            throw new ProtocolException("no status line: [" + PrintableText.abbreviate(text) + "]");
        }
        version10 = statusLine.group(1).equals("0");
        interim = statusLine.group(2).startsWith("1");
        expectsStatusLine = false;
        announcement = EndOfConnectionAnnouncement.ofHead(text, version10);
    }

    private void recordField(FieldLine field, boolean abbreviated) throws ProtocolException {
        if (!field.isFraming()) {
            announcement.recordField(field);
            return;
        }
        if (interim) {
            throw new ProtocolException("an interim response has the field " + field.abbreviate());
        }
        if (declaredEnd.isPresent()) {
            throw new ProtocolException("the framing is declared a second time: " + field.abbreviate());
        }
        boolean isLength = field.name().equalsIgnoreCase(BodyEnd.CONTENT_LENGTH);
        boolean valid = isLength
                ? LENGTH.matcher(field.value()).matches()
                : !version10 && field.value().toLowerCase(Locale.ROOT).equals(BodyEnd.CHUNKED);
        if (abbreviated || !valid) {
            throw new ProtocolException("the framing of the body cannot be read: " + field.abbreviate());
        }
        declaredEnd = Optional.of(isLength ? BodyEnd.ofLength(Long.parseLong(field.value())) : new BodyEnd.LastChunk());
    }
}
