package org.cassiabank.soak;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * One HTTP/1.1 message as received on a socket, read without a library that could hide that it is malformed.
 *
 * @param startLine the request line or status line
 * @param headers the header values by lower-case name; the last value if a header is repeated
 * @param body the received part of the body
 * @param isComplete whether the whole body was received
 */
record WireMessage(String startLine, Map<String, String> headers, byte[] body, boolean isComplete) {

    /**
     * Reads the next message of a stream.
     *
     * @param input the stream
     * @param isResponse whether the body of a message without a length extends to the end of the connection
     * @return the message, or empty if the stream ended before its first byte
     * @throws IOException if the connection ends before the headers are complete or a header has no colon
     */
    static Optional<WireMessage> read(InputStream input, boolean isResponse) throws IOException {
        Optional<String> startLine = readLine(input);
        if (startLine.isEmpty()) {
            return Optional.empty();
        }
        Map<String, String> headers = new HashMap<>();
        String line = readLine(input).orElseThrow(() -> new IOException("connection ended inside the headers"));
        while (!line.isEmpty()) {
            int colon = line.indexOf(':');
            if (colon <= 0) {
                throw new IOException("header line without a colon: " + line);
            }
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
            line = readLine(input).orElseThrow(() -> new IOException("connection ended inside the headers"));
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        boolean isComplete;
        try {
            isComplete = readBody(input, headers, isResponse, body);
        } catch (IOException exception) {
            isComplete = false;
        }
        return Optional.of(new WireMessage(startLine.get(), headers, body.toByteArray(), isComplete));
    }

    int status() throws IOException {
        if (!startLine.matches("HTTP/1\\.1 [1-5][0-9][0-9]( .*)?")) {
            throw new IOException("malformed status line: " + startLine);
        }
        return Integer.parseInt(startLine.substring(9, 12));
    }

    String header(String name) {
        return headers.getOrDefault(name, "");
    }

    private static boolean readBody(
            InputStream input, Map<String, String> headers, boolean isResponse, ByteArrayOutputStream body)
            throws IOException {
        if (headers.getOrDefault("transfer-encoding", "").equals("chunked")) {
            while (true) {
                int chunkBytes = Integer.parseInt(readLine(input).orElse("-1"), 16);
                byte[] chunk = input.readNBytes(Math.max(0, chunkBytes));
                body.writeBytes(chunk);
                if (chunk.length < chunkBytes || readLine(input).isEmpty()) {
                    return false;
                }
                if (chunkBytes == 0) {
                    return true;
                }
            }
        }
        if (headers.containsKey("content-length")) {
            int bodyBytes = Integer.parseInt(headers.get("content-length"));
            body.writeBytes(input.readNBytes(bodyBytes));
            return body.size() == bodyBytes;
        }
        if (isResponse) {
            input.transferTo(body);
        }
        return true;
    }

    private static Optional<String> readLine(InputStream input) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next = input.read();
        if (next < 0) {
            return Optional.empty();
        }
        while (next >= 0 && next != '\n') {
            line.write(next);
            next = input.read();
        }
        if (next < 0) {
            throw new IOException("connection ended inside a line");
        }
        return Optional.of(line.toString(StandardCharsets.ISO_8859_1).stripTrailing());
    }
}
