package org.cassiabank.backend;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.cassiabank.http.ResponseHeads;

/**
 * Decides whether a body ends where its response ends, or was completed by the bytes of another response.
 *
 * <p>A server whose response breaks off may send a second one on the same connection. Its first bytes then fill the
 * body of the first response up to the declared end, and the rest stays behind that end. A second response that
 * follows a whole one begins exactly at the end.
 */
final class ResponseBoundary {
    private static final Pattern STATUS_LINE = ResponseHeads.STATUS_LINE;

    private static final String BEGINNING_TEXT = "HTTP/1.";
    private static final byte[] BEGINNING = BEGINNING_TEXT.getBytes(StandardCharsets.US_ASCII);
    private static final String END_OF_HEAD = "\r\n\r\n";
    /** OkHttp reads lines that end in a line feed alone, too. */
    private static final Pattern EMPTY_LINE = Pattern.compile("\\r?\\n\\r?\\n");

    private static final Pattern EMPTY_LINE_AT_END = Pattern.compile(EMPTY_LINE.pattern() + "\\z");

    private static final int EMPTY_LINE_BYTES = END_OF_HEAD.length();
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
        boolean responseBehind = !behind.isEmpty() && mayBeginResponse(bytesBehind);
        // What follows a response that begins exactly at the end says nothing about the body.
        String text = text(body, from) + (responseBehind ? "" : behind);
        int bodyLength = body.length - from;
        boolean followedByItsRest = !behind.isEmpty() && !responseBehind;
        Matcher statusLine = STATUS_LINE.matcher(text);
        if (responseBehind && endsWithInterimHead(text)) {
            return Optional.of("an interim response ends the " + body.length + " bytes of the body");
        }
        Matcher requestIdField = Pattern.compile(
                        "[\\r\\n]" + Pattern.quote(requestIdHeader) + ":", Pattern.CASE_INSENSITIVE)
                .matcher(text);
        int examined = 0;
        while (statusLine.find(examined) && statusLine.start() < bodyLength) {
            int headEnd = endOfHead(text, statusLine.start());
            if (followedByItsRest
                    || requestIdField.region(statusLine.start(), headEnd).find()) {
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

    /**
     * Reads the head of the response that follows another one.
     *
     * @param bytesBehind the bytes that follow the end of a response and may begin another one
     * @return the values of its headers by name, or empty if the head has not arrived as a whole
     */
    static Optional<Map<String, List<String>>> headersBehind(byte[] bytesBehind) {
        String text = text(bytesBehind, 0);
        Matcher emptyLine = EMPTY_LINE.matcher(text);
        if (!emptyLine.find()) {
            return Optional.empty();
        }
        Map<String, List<String>> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        text.substring(0, emptyLine.start()).lines().skip(1).forEach(line -> {
            int nameEnd = Math.max(0, line.indexOf(':'));
            headers.computeIfAbsent(line.substring(0, nameEnd), name -> new ArrayList<>())
                    .add(line.substring(Math.min(line.length(), nameEnd + 1)).strip());
        });
        return Optional.of(headers);
    }

    /**
     * Tells whether only bytes that arrive later can tell where a response ends: its body ends like the beginning of
     * another response, or what follows it is too short to tell what it is.
     *
     * @param endOfBody the last bytes of the body
     * @param bytesBehind the bytes that follow the end of the response
     * @return true if it is worth to wait for more bytes
     */
    static boolean isUndecided(byte[] endOfBody, byte[] bytesBehind) {
        return bytesBehind.length > 0
                ? isBeginningOfStatusLine(text(bytesBehind, 0))
                : endsInsideResponse(text(endOfBody, indexOfBeginning(endOfBody)));
    }

    private static boolean endsInsideResponse(String text) {
        Matcher statusLine = STATUS_LINE.matcher(text);
        while (statusLine.find()) {
            int start = statusLine.start();
            if (text.indexOf(END_OF_HEAD, start) < 0) {
                return true;
            }
        }
        if (endsWithInterimHead(text)) {
            return true;
        }
        int index = text.indexOf('H', text.length() - STATUS_LINE_BYTES);
        while (index >= 0) {
            if (isBeginningOfStatusLine(text.substring(index))) {
                return true;
            }
            index = text.indexOf('H', index + 1);
        }
        return false;
    }

    /** Tells whether a text breaks off inside a status line. */
    private static boolean isBeginningOfStatusLine(String text) {
        Matcher statusLine = STATUS_LINE.matcher(text);
        return !statusLine.lookingAt() && statusLine.hitEnd();
    }

    /** Tells whether the text ends with an interim response, behind which its server sends the final one. */
    private static boolean endsWithInterimHead(String text) {
        Matcher emptyLine = EMPTY_LINE_AT_END.matcher(text);
        if (!emptyLine
                .region(Math.max(0, text.length() - EMPTY_LINE_BYTES), text.length())
                .find()) {
            return false;
        }
        // The status line may stand behind text, and the fields of the head may name others.
        Matcher statusLine = STATUS_LINE.matcher(text);
        statusLine.region(startOfLastHead(text, emptyLine.start()), emptyLine.start());
        while (statusLine.find()) {
            if (text.charAt(statusLine.end() - "200".length()) == '1') {
                return true;
            }
        }
        return false;
    }

    /** Returns where the last head can begin at the earliest: behind the last empty line before its end. */
    private static int startOfLastHead(String text, int end) {
        return Math.max(text.lastIndexOf("\n\n", end - 1), text.lastIndexOf("\n\r\n", end - 1)) + 1;
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

    private static String text(byte[] bytes, int from) {
        return new String(bytes, from, bytes.length - from, StandardCharsets.ISO_8859_1);
    }

    /** Returns where the empty line begins that ends a head, or the end of the text if there is none. */
    private static int endOfHead(String text, int start) {
        int end = text.indexOf(END_OF_HEAD, start);
        return end < 0 ? text.length() : end;
    }
}
