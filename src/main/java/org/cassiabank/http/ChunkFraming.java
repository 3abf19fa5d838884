package org.cassiabank.http;

import java.io.ByteArrayOutputStream;
import java.net.ProtocolException;
import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Follows the framing of a chunked body: which of its bytes are the data of a chunk, and which form a line.
 *
 * <p>OkHttp reads the same lines, and accepts any text between the data of a chunk and the end of its line. There, in
 * the extension of a chunk and in the trailers, the head of another response could vanish.
 */
final class ChunkFraming {
    /** RFC 9112, section 7.1, with blanks behind the size; a size of at most 15 digits always fits a long. */
    private static final Pattern SIZE_LINE =
            Pattern.compile("0*+([0-9A-Fa-f]{0,15})(?<=[0-9A-Fa-f])[ \\t]*(?:;" + FieldLine.TEXT + "*)?");

    /** What the next line is. */
    private enum Line {
        SIZE,
        END_OF_CHUNK,
        TRAILER,
        NONE
    }

    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private Line expectedLine = Line.SIZE;
    private long remainingBytes;

    private ChunkFraming() {}

    /** Creates the framing of a body of which no byte was read. */
    static ChunkFraming create() {
        return new ChunkFraming();
    }

    /** Tells whether the line that ends the body was recorded. */
    boolean hasEnded() {
        return expectedLine == Line.NONE;
    }

    /** Returns the number of bytes of data that come before the next line. */
    long remainingBytes() {
        return remainingBytes;
    }

    /** Tells whether the next line is a trailer, or the empty line that ends the body. */
    boolean isInTrailers() {
        return expectedLine == Line.TRAILER;
    }

    /**
     * Records bytes of data.
     *
     * @param bytes their number, at most {@link #remainingBytes()}
     */
    void recordData(long bytes) {
        remainingBytes -= bytes;
    }

    /**
     * Records bytes of a line.
     *
     * @param bytes holds the bytes; a line feed is the last of them
     * @param offset the position of the first byte
     * @param length the number of bytes
     * @throws ProtocolException if the line is complete and cannot belong to a chunked body
     */
    void recordLine(byte[] bytes, int offset, int length) throws ProtocolException {
        line.write(bytes, offset, length);
        if (bytes[offset + length - 1] == '\n') {
            String text = line.toString(StandardCharsets.ISO_8859_1);
            line.reset();
            endLine(withoutLineEnd(text));
        }
    }

    private static String withoutLineEnd(String text) {
        int endBytes = text.endsWith("\r\n") ? 2 : 1;
        return text.substring(0, text.length() - endBytes);
    }

    private void endLine(String text) throws ProtocolException {
        if (ResponseHeads.STATUS_LINE.matcher(text).find()) {
            throw new ProtocolException(
                    "another response begins inside a chunked body: [" + PrintableText.abbreviate(text) + "]");
        }
        switch (expectedLine) {
            case SIZE -> {
                remainingBytes = parseSize(text);
                expectedLine = remainingBytes == 0 ? Line.TRAILER : Line.END_OF_CHUNK;
            }
            case END_OF_CHUNK -> {
                if (!text.isEmpty()) {
                    throw new ProtocolException(
                            "a chunk does not end after its data: [" + PrintableText.abbreviate(text) + "]");
                }
                expectedLine = Line.SIZE;
            }
            case TRAILER -> {
                if (text.isEmpty()) {
                    expectedLine = Line.NONE;
                } else {
                    // A caller does not receive trailers, but bytes that are none may belong to another response.
                    FieldLine.parse(text);
                }
            }
            case NONE ->
                throw new ProtocolException(
                        "a line follows the end of a chunked body: [" + PrintableText.abbreviate(text) + "]");
        }
    }

    private static long parseSize(String text) throws ProtocolException {
        Matcher sizeLine = SIZE_LINE.matcher(text);
        if (!sizeLine.matches()) {
            throw new ProtocolException("a chunk has the size [" + PrintableText.abbreviate(text) + "]");
        }
        String digits = sizeLine.group(1);
        return digits.isEmpty() ? 0 : Long.parseLong(digits, 16);
    }
}
