package org.cassiabank.http;

import java.io.ByteArrayOutputStream;
import java.net.ProtocolException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * Follows the framing of a chunked body: which of its bytes are the data of a chunk, and which form a line.
 *
 * <p>OkHttp reads the same lines, and accepts any text between the data of a chunk and the end of its line. There, in
 * the extension of a chunk and in the trailers, the head of another response could vanish.
 */
final class ChunkFraming {
    /** The most digits of a size that always fits a long. */
    private static final int MAXIMUM_SIZE_DIGITS = 15;

    private static final String HEXADECIMAL_DIGITS = "0123456789abcdef";

    /** What the next line is. */
    private enum Line {
        SIZE,
        END_OF_CHUNK,
        TRAILER
    }

    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private Line expectedLine = Line.SIZE;
    private long remainingBytes;

    /** Returns the number of bytes of data that come before the next line. */
    long remainingBytes() {
        return remainingBytes;
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
            endLine(text.substring(0, text.length() - (text.endsWith("\r\n") ? 2 : 1)));
        }
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
                // A caller does not receive trailers.
            }
        }
    }

    private static long parseSize(String text) throws ProtocolException {
        String lowerCase = text.toLowerCase(Locale.ROOT);
        int end = 0;
        while (end < lowerCase.length() && HEXADECIMAL_DIGITS.indexOf(lowerCase.charAt(end)) >= 0) {
            end++;
        }
        int start = 0;
        while (start < end - 1 && lowerCase.charAt(start) == '0') {
            start++;
        }
        if (end == 0 || end - start > MAXIMUM_SIZE_DIGITS) {
            throw new ProtocolException("a chunk has the size [" + PrintableText.abbreviate(text) + "]");
        }
        return Long.parseLong(lowerCase, start, end, 16);
    }
}
