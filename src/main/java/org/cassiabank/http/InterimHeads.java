package org.cassiabank.http;

import java.io.ByteArrayOutputStream;
import java.net.ProtocolException;
import java.nio.charset.StandardCharsets;
import java.util.regex.Pattern;

/**
 * Follows the heads that come before a response: those of interim responses.
 *
 * <p>OkHttp reads and drops them. In an interim head that breaks off inside a line, the head of another response could
 * vanish. What is wrong with the final head is found by {@link ResponseHeads}.
 */
final class InterimHeads {
    private static final Pattern INTERIM_STATUS_LINE = Pattern.compile("HTTP/1\\.[01] 1");

    /** Each line is kept once more while it is examined, outside the memory that is counted for responses. */
    private static final int MAXIMUM_LINE_BYTES = 8_192;

    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private boolean expectsStatusLine = true;
    private boolean interim;

    /**
     * Records bytes of a line of a head.
     *
     * @param bytes holds the bytes; a line feed is the last of them
     * @param offset the position of the first byte
     * @param length the number of bytes
     * @throws ProtocolException if the line is complete and the status line of another response stands in it
     * @throws ResponseTooLargeException if a status line, or a line of an interim head, exceeds 8,192 bytes
     */
    void recordLine(byte[] bytes, int offset, int length) throws ProtocolException, ResponseTooLargeException {
        if (!expectsStatusLine && !interim) {
            return;
        }
        line.write(bytes, offset, length);
        if (line.size() > MAXIMUM_LINE_BYTES) {
            throw ResponseTooLargeException.of("a line before the fields of the response exceeds " + MAXIMUM_LINE_BYTES
                    + " bytes: [" + PrintableText.abbreviate(line.toString(StandardCharsets.ISO_8859_1)) + "]");
        }
        if (bytes[offset + length - 1] == '\n') {
            String text = line.toString(StandardCharsets.ISO_8859_1);
            line.reset();
            endLine(text);
        }
    }

    private void endLine(String text) throws ProtocolException {
        int ownStatusLine = 0;
        if (expectsStatusLine) {
            interim = INTERIM_STATUS_LINE.matcher(text).lookingAt();
            ownStatusLine = 1;
        }
        if (interim && ResponseHeads.STATUS_LINE.matcher(text).find(ownStatusLine)) {
            throw new ProtocolException("another response begins inside the head of an interim response: ["
                    + PrintableText.abbreviate(text.strip()) + "]");
        }
        expectsStatusLine = interim && text.isBlank();
    }
}
