package org.cassiabank.http;

import java.io.ByteArrayOutputStream;
import java.net.ProtocolException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Follows a body that ends with its connection, and looks for the framing that its head may have lost.
 *
 * <p>If the name of a framing field was spoiled, the body is a series of chunks as far as it goes. If a spoiled byte
 * ended the head too early, the body begins with the rest of the head. Neither is what the server meant as the body. A
 * server whose bodies look like that has to declare their length.
 */
final class CloseDelimitedBody {
    /** Limits the bytes that are kept once more while they are examined. */
    private static final int MAXIMUM_LINE_BYTES = 8_192;

    private final ChunkFraming chunks = ChunkFraming.create();
    private int chunkLineBytes;
    private byte lastLineByte;
    private boolean hasChunkSize;
    private boolean readsAsChunks = true;

    private final ByteArrayOutputStream fieldLine = new ByteArrayOutputStream();
    private boolean readsAsFields = true;
    private int fieldCount;
    private Optional<String> restOfHead = Optional.empty();

    private CloseDelimitedBody() {}

    /** Creates the follower of a body of which no byte was read. */
    static CloseDelimitedBody create() {
        return new CloseDelimitedBody();
    }

    /**
     * Records bytes of the body.
     *
     * @param bytes holds the bytes
     * @param offset the position of the first byte
     * @param length the number of bytes
     */
    void record(byte[] bytes, int offset, int length) {
        recordAsChunks(bytes, offset, length);
        for (int index = offset; readsAsFields && index < offset + length; index++) {
            recordAsField(bytes[index]);
        }
    }

    /**
     * Looks for a lost framing when the connection has ended.
     *
     * @return what is wrong, or empty if the body does not show any framing
     */
    Optional<String> findDefect() {
        if (readsAsFields) {
            // The connection may have ended inside the line.
            endFieldLine();
        }
        return readsAsChunks && hasChunkSize
                ? Optional.of("the body reads as chunks, but its head does not declare any")
                : restOfHead.map(line -> "the body begins with the rest of a head: " + line);
    }

    private void recordAsChunks(byte[] bytes, int offset, int length) {
        int position = offset;
        int end = offset + length;
        // What follows the last chunk belongs to no body.
        while (readsAsChunks && !chunks.hasEnded() && position < end) {
            int dataBytes = (int) Math.min(chunks.remainingBytes(), end - position);
            if (dataBytes > 0) {
                chunks.recordData(dataBytes);
                position += dataBytes;
            } else {
                int lineEnd = indexBehindLine(bytes, position, end);
                recordChunkLine(bytes, position, lineEnd - position);
                position = lineEnd;
            }
        }
    }

    private void recordChunkLine(byte[] bytes, int offset, int length) {
        chunkLineBytes += length;
        if (chunkLineBytes > MAXIMUM_LINE_BYTES) {
            readsAsChunks = false;
            return;
        }
        try {
            chunks.recordLine(bytes, offset, length);
        } catch (ProtocolException noChunk) {
            readsAsChunks = false;
        }
        int lastIndex = offset + length - 1;
        if (bytes[lastIndex] == '\n') {
            byte byteBefore = length > 1 ? bytes[lastIndex - 1] : lastLineByte;
            // A text with such a first line is more likely than chunks whose lines end in a line feed alone.
            readsAsChunks &= hasChunkSize || byteBefore == '\r';
            hasChunkSize = true;
            chunkLineBytes = 0;
        }
        lastLineByte = bytes[lastIndex];
    }

    private static int indexBehindLine(byte[] bytes, int position, int end) {
        for (int index = position; index < end; index++) {
            if (bytes[index] == '\n') {
                return index + 1;
            }
        }
        return end;
    }

    private void recordAsField(byte value) {
        if (value == '\n') {
            endFieldLine();
        } else if (fieldLine.size() == MAXIMUM_LINE_BYTES) {
            readsAsFields = false;
        } else {
            fieldLine.write(value);
        }
    }

    private void endFieldLine() {
        String text = fieldLine.toString(StandardCharsets.ISO_8859_1);
        fieldLine.reset();
        if (text.equals("\r")) {
            endRestOfHead(fieldCount + " fields and an empty line");
            return;
        }
        try {
            FieldLine field = FieldLine.parse(text.endsWith("\r") ? text.substring(0, text.length() - 1) : text);
            if (field.isFraming()) {
                endRestOfHead(field.abbreviate());
            }
            // A text whose lines end in a line feed alone often begins with such lines.
            readsAsFields &= text.endsWith("\r");
            fieldCount++;
        } catch (ProtocolException noField) {
            readsAsFields = false;
        }
    }

    private void endRestOfHead(String description) {
        restOfHead = Optional.of(description);
        readsAsFields = false;
    }
}
