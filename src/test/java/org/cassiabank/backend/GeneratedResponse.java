package org.cassiabank.backend;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Random;

/**
 * A response of a server with random contents, in each form that the client reads, as the bytes that the server writes.
 *
 * @param requestId the identifier of the request that the server responds to
 * @param status the final status
 * @param notRun whether the head says that the request did not run
 * @param signature the value of the header {@code Signed}, which no other response has
 * @param framing how the end of the body is marked
 * @param body the body that a client has to receive, one character for each byte
 * @param headBytes the length of the interim responses and the final head
 * @param bytes everything that the server writes, one character for each byte
 * @param ends the positions in {@code bytes} behind which a line, a head, a chunk or the body ends, ascending
 */
record GeneratedResponse(
        String requestId,
        int status,
        boolean notRun,
        String signature,
        Framing framing,
        String body,
        int headBytes,
        String bytes,
        List<Integer> ends) {
    private static final List<Integer> STATUSES = List.of(200, 200, 200, 204, 304, 404, 421, 500, 500, 503, 503);
    private static final int MISDIRECTED_REQUEST = 421;
    private static final List<String> INTERIM_HEADS = List.of(
            "HTTP/1.1 100 Continue\r\n\r\n",
            "HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n",
            "HTTP/1.1 103 Early Hints\r\nVia: HTTP/1.1 192.168.0.1\r\n\r\n");
    private static final List<String> REASONS = List.of("", "OK", "Reason of any text: 500 HTTP", "Ä ok");
    /** Beginnings of this head may end a body. */
    private static final String NEARLY_A_HEAD = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n";

    private static final int SMALL_BODY_BYTES = 120;
    private static final int LARGE_BODY_BYTES = 20_000;

    /** How the end of a body is marked. */
    enum Framing {
        NO_BODY,
        LENGTH,
        CHUNKS,
        END_OF_CONNECTION
    }

    /**
     * Generates a response.
     *
     * @param random decides everything that is not given
     * @param method the method of the request; a response to {@code HEAD} has no body
     * @param requestId the identifier of the request
     * @param name distinguishes the signature from that of any other response
     * @param mayEndWithConnection whether the body may end with the connection
     */
    static GeneratedResponse of(
            Random random, String method, String requestId, String name, boolean mayEndWithConnection) {
        int status = pick(random, STATUSES);
        boolean hasBody = !method.equals("HEAD") && status != 204 && status != 304;
        Framing framing = hasBody
                ? pick(
                        random,
                        mayEndWithConnection
                                ? List.of(Framing.LENGTH, Framing.CHUNKS, Framing.END_OF_CONNECTION)
                                : List.of(Framing.LENGTH, Framing.CHUNKS))
                : Framing.NO_BODY;
        String body = hasBody ? newBody(random) : "";
        boolean notRun = status == MISDIRECTED_REQUEST || status == 503 && random.nextBoolean();
        String lineEnd = random.nextInt(6) == 0 ? "\n" : "\r\n";
        String signature = status + "-" + name + "-" + Integer.toHexString(body.hashCode());
        List<String> fields = new ArrayList<>(List.of(
                "Cassiabank-Request-Id: " + requestId,
                "Signed: " + signature,
                "Date: Sat, 05 Dec 2026 11:29:40 GMT",
                "Vary: Accept",
                "Vary: Origin",
                "Via: HTTP/1.1 192.168.0.1",
                "Set-Cookie: a=b; Path=/",
                "Set-Cookie: c=HTTP/1.1"));
        if (notRun && status != MISDIRECTED_REQUEST) {
            fields.add("Cassiabank-Not-Run: true");
        }
        switch (framing) {
            case LENGTH -> fields.add("Content-Length: " + body.length());
            case CHUNKS -> fields.add("Transfer-Encoding: chunked");
            case END_OF_CONNECTION -> fields.add("Connection: close");
            case NO_BODY -> {
                // Nothing in the head announces a body.
            }
        }
        if (method.equals("HEAD") && random.nextBoolean()) {
            fields.add("Content-Length: " + random.nextInt(SMALL_BODY_BYTES));
        }
        Collections.shuffle(fields, random);
        fields.replaceAll(field -> inAnyCase(random, field));
        List<Integer> ends = new ArrayList<>();
        StringBuilder bytes = new StringBuilder();
        if (random.nextInt(4) == 0) {
            bytes.append(pick(random, INTERIM_HEADS).replace("\r\n", lineEnd));
            ends.add(bytes.length());
        }
        append(bytes, ends, "HTTP/1.1 " + status + " " + pick(random, REASONS) + lineEnd);
        fields.forEach(field -> append(bytes, ends, field + lineEnd));
        append(bytes, ends, lineEnd);
        int headBytes = bytes.length();
        switch (framing) {
            case LENGTH, END_OF_CONNECTION -> append(bytes, ends, body);
            case CHUNKS -> appendChunks(bytes, ends, body, lineEnd, random);
            case NO_BODY -> {
                // The head is everything.
            }
        }
        return new GeneratedResponse(
                requestId, status, notRun, signature, framing, body, headBytes, bytes.toString(), List.copyOf(ends));
    }

    /** Tells whether a client received this response, whole and with nothing of another. */
    boolean isDeliveredAs(ResponseReceived response) {
        return response.status() == status
                && response.headers().entrySet().stream()
                        .anyMatch(field -> field.getKey().equalsIgnoreCase("Signed")
                                && field.getValue().equals(List.of(signature)))
                && new String(response.body(), StandardCharsets.ISO_8859_1).equals(body);
    }

    /** Returns a random position before the end, often at or beside the end of a line, a head, a chunk or the body. */
    int cut(Random random) {
        int position =
                random.nextBoolean() ? random.nextInt(bytes.length()) : pick(random, ends) - 2 + random.nextInt(4);
        return Math.max(0, Math.min(bytes.length() - 1, position));
    }

    @Override
    public String toString() {
        return status + " " + framing + (notRun ? " not run" : "") + " to " + requestId + ", head " + headBytes
                + " of " + bytes.length() + " bytes: ["
                + bytes.substring(0, Math.min(bytes.length(), headBytes + 300)) + "]";
    }

    private static String newBody(Random random) {
        int length = random.nextInt(random.nextInt(5) == 0 ? LARGE_BODY_BYTES : SMALL_BODY_BYTES);
        boolean binary = random.nextInt(3) == 0;
        StringBuilder body = new StringBuilder(length);
        while (body.length() < length) {
            int value = random.nextInt(256);
            body.append(binary ? (char) value : value < 16 ? '\n' : (char) ('a' + value % 26));
        }
        if (random.nextInt(4) == 0) {
            body.append(NEARLY_A_HEAD, 0, 1 + random.nextInt(NEARLY_A_HEAD.length()));
        }
        return body.toString();
    }

    /** Returns the field, sometimes with a name in upper or lower case. */
    private static String inAnyCase(Random random, String field) {
        int nameEnd = field.indexOf(':');
        String name = field.substring(0, nameEnd);
        return switch (random.nextInt(6)) {
            case 0 -> name.toUpperCase(Locale.ROOT) + field.substring(nameEnd);
            case 1 -> name.toLowerCase(Locale.ROOT) + field.substring(nameEnd);
            default -> field;
        };
    }

    private static void appendChunks(
            StringBuilder bytes, List<Integer> ends, String body, String lineEnd, Random random) {
        int position = 0;
        while (position < body.length()) {
            int end = Math.min(body.length(), position + 1 + random.nextInt(body.length()));
            append(bytes, ends, Integer.toHexString(end - position) + (random.nextInt(4) == 0 ? ";a=b" : "") + lineEnd);
            append(bytes, ends, body.substring(position, end));
            append(bytes, ends, lineEnd);
            position = end;
        }
        append(bytes, ends, "0" + lineEnd);
        if (random.nextInt(4) == 0) {
            append(bytes, ends, "Checksum: abc" + lineEnd);
        }
        append(bytes, ends, lineEnd);
    }

    private static void append(StringBuilder bytes, List<Integer> ends, String part) {
        bytes.append(part);
        ends.add(bytes.length());
    }

    static <T> T pick(Random random, List<T> values) {
        return values.get(random.nextInt(values.size()));
    }
}
