package org.cassiabank.backend;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Decides whether a body ends where its response ends, or was completed by the bytes of another response.
 *
 * <p>A server whose response breaks off may send a second one on the same connection. Its first bytes then fill the
 * body of the first response up to the declared end, and the rest stays behind that end. A second response that
 * follows a whole one begins exactly at the end.
 */
final class ResponseBoundary {
    /** The beginning of a status line, up to the status. */
    static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [1-5][0-9]{2}(?![0-9])");

    private static final byte[] BEGINNING = "HTTP/1.".getBytes(StandardCharsets.ISO_8859_1);
    private static final int STATUS_LINE_BYTES = "HTTP/1.1 200".length();
    private static final byte[] EMPTY = {};

    private ResponseBoundary() {}

    /**
     * Looks for another response inside a body. Takes time in proportion to the length of the body, whatever it holds,
     * and does not copy it.
     *
     * @param body the body as far as the response declared it, without the framing of chunks
     * @param bytesBehind the bytes that had arrived behind the end of the response when it was complete
     * @param requestIdHeader the header with the identifier, which each response of a server carries
     * @return what is wrong, or empty if no other response begins in the body
     */
    static Optional<String> findDefect(byte[] body, byte[] bytesBehind, String requestIdHeader) {
        boolean responseBehind =
                STATUS_LINE.matcher(new Latin1Text(bytesBehind, EMPTY)).lookingAt();
        boolean followedByItsRest = bytesBehind.length > 0 && !responseBehind;
        // What follows a response that begins exactly at the end says nothing about the body.
        CharSequence text = new Latin1Text(body, responseBehind ? EMPTY : bytesBehind);
        Matcher statusLine = STATUS_LINE.matcher(text).region(indexOfBeginning(body), text.length());
        while (statusLine.find() && statusLine.start() < body.length) {
            int headEnd = indexOfHeadEnd(text, statusLine.start());
            if (followedByItsRest || containsField(text, statusLine.start(), headEnd, requestIdHeader)) {
                return Optional.of("another response begins after " + statusLine.start() + " of " + body.length
                        + " bytes of the body");
            }
            // The rest of this head also belongs to each status line in it, so they need not be examined.
            statusLine.region(headEnd, text.length());
        }
        return Optional.empty();
    }

    /**
     * Tells whether bytes that follow a response may be the beginning of another one.
     *
     * @param bytesBehind the bytes that follow the end of a response
     * @return true also if there are none
     */
    static boolean mayBeginResponse(byte[] bytesBehind) {
        Matcher statusLine = STATUS_LINE.matcher(new Latin1Text(bytesBehind, EMPTY));
        return statusLine.lookingAt() || statusLine.hitEnd();
    }

    /** Returns where a status line may begin at the earliest. */
    private static int indexOfBeginning(byte[] body) {
        int last = body.length - BEGINNING.length;
        for (int index = 0; index <= last; index++) {
            if (body[index] == BEGINNING[0]
                    && Arrays.equals(body, index, index + BEGINNING.length, BEGINNING, 0, BEGINNING.length)) {
                return index;
            }
        }
        // The end of the body and the bytes behind it may form a status line together.
        return Math.max(0, body.length - STATUS_LINE_BYTES);
    }

    /** Returns the index of the empty line that ends a head, or the end of the text if there is none. */
    private static int indexOfHeadEnd(CharSequence text, int start) {
        for (int index = start + 3; index < text.length(); index++) {
            if (text.charAt(index) == '\n'
                    && text.charAt(index - 1) == '\r'
                    && text.charAt(index - 2) == '\n'
                    && text.charAt(index - 3) == '\r') {
                return index - 3;
            }
        }
        return text.length();
    }

    /** Tells whether a line of a head, other than the first, holds a field. */
    private static boolean containsField(CharSequence text, int start, int end, String name) {
        for (int index = start + 1; index + name.length() < end; index++) {
            char previous = text.charAt(index - 1);
            if ((previous == '\n' || previous == '\r')
                    && text.charAt(index + name.length()) == ':'
                    && name.equalsIgnoreCase(
                            text.subSequence(index, index + name.length()).toString())) {
                return true;
            }
        }
        return false;
    }

    /** Two byte arrays as one text, without a copy. */
    private record Latin1Text(byte[] beginning, byte[] rest) implements CharSequence {

        @Override
        public int length() {
            return beginning.length + rest.length;
        }

        @Override
        public char charAt(int index) {
            byte value = index < beginning.length ? beginning[index] : rest[index - beginning.length];
            return (char) (value & 0xff);
        }

        @Override
        public CharSequence subSequence(int start, int end) {
            StringBuilder part = new StringBuilder(end - start);
            for (int index = start; index < end; index++) {
                part.append(charAt(index));
            }
            return part;
        }

        @Override
        public String toString() {
            return subSequence(0, length()).toString();
        }
    }
}
