package org.cassiabank.backend;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Decides whether a body ends where its response ends, or was completed by the bytes of another response.
 *
 * <p>A server whose response breaks off may send a second one on the same connection. Its first bytes then fill the
 * body of the first response up to the declared end, and the rest stays behind that end. A second response that follows a
 * whole one begins exactly at the end.
 */
final class ResponseBoundary {
    /** The beginning of a status line, up to the status. */
    static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [1-5][0-9]{2}(?![0-9])");

    private static final String BEGINNING = "HTTP/1.";
    private static final int STATUS_LINE_BYTES = "HTTP/1.1 200".length();

    private ResponseBoundary() {}

    /**
     * Looks for another response inside a body.
     *
     * @param body the body as far as the response declared it, without the framing of chunks
     * @param bytesBehind the bytes that had arrived behind the end of the response when it was complete
     * @param requestIdHeader the header with the identifier, which each response of a server carries
     * @return what is wrong, or empty if no other response begins in the body
     */
    static Optional<String> findDefect(byte[] body, byte[] bytesBehind, String requestIdHeader) {
        int from = indexOfBeginning(body);
        String behind = text(bytesBehind, 0);
        boolean responseBehind = STATUS_LINE.matcher(behind).lookingAt();
        // What follows a response that begins exactly at the end says nothing about the body.
        String text = text(body, from) + (responseBehind ? "" : behind);
        int bodyLength = body.length - from;
        boolean followedByItsRest = !behind.isEmpty() && !responseBehind;
        Matcher statusLine = STATUS_LINE.matcher(text);
        int examined = 0;
        while (statusLine.find(examined) && statusLine.start() < bodyLength) {
            int headEnd = endOfHead(text, statusLine.start());
            if (followedByItsRest || containsField(text.substring(statusLine.start(), headEnd), requestIdHeader)) {
                return Optional.of("another response begins after " + (from + statusLine.start()) + " of " + body.length
                        + " bytes of the body");
            }
            // A status line inside this head has no field either.
            examined = headEnd;
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
        Matcher statusLine = STATUS_LINE.matcher(text(bytesBehind, 0));
        return statusLine.lookingAt() || statusLine.hitEnd();
    }

    /**
     * Tells whether a refusal is contradicted by what follows it: another response of the server to the same request.
     *
     * @param status the status of the refusal
     * @param bytesBehind the bytes that follow its end
     * @return false if nothing follows, or the refusal itself once more
     */
    static boolean contradicts(int status, byte[] bytesBehind) {
        return bytesBehind.length > 0
                && !Pattern.compile("HTTP/1\\.[01] " + status + "(?![0-9])")
                        .matcher(text(bytesBehind, 0))
                        .lookingAt();
    }

    /** Returns where a status line may begin at the earliest. */
    private static int indexOfBeginning(byte[] body) {
        int last = body.length - BEGINNING.length();
        for (int index = 0; index <= last; index++) {
            if (body[index] == BEGINNING.charAt(0)
                    && text(body, index, BEGINNING.length()).equals(BEGINNING)) {
                return index;
            }
        }
        // The end of the body and the bytes behind it may form a status line together.
        return Math.max(0, body.length - STATUS_LINE_BYTES);
    }

    private static String text(byte[] bytes, int from) {
        return text(bytes, from, bytes.length - from);
    }

    private static String text(byte[] bytes, int from, int length) {
        return new String(bytes, from, length, StandardCharsets.ISO_8859_1);
    }

    /** Returns where the empty line begins that ends a head, or the end of the text if there is none. */
    private static int endOfHead(String text, int start) {
        int end = text.indexOf("\r\n\r\n", start);
        return end < 0 ? text.length() : end;
    }

    private static boolean containsField(String head, String name) {
        return head.lines().skip(1).anyMatch(line -> line.regionMatches(true, 0, name + ":", 0, name.length() + 1));
    }
}
