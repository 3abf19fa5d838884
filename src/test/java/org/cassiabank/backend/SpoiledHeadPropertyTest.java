package org.cassiabank.backend;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import net.jqwik.api.AfterFailureMode;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.statistics.Statistics;

/**
 * Guards against the delivery of a body that the server did not send as the body: some bytes of the head are replaced,
 * removed or added anywhere, the body is whole or cut, and the connection ends in order or is reset.
 */
class SpoiledHeadPropertyTest {
    private static final int MOST_EDITS = 4;
    private static final String CLOSE = "Connection: close";
    private static final String EDIT_BYTES = "\r\n\t :;,+-.=0123456789aeghlnrtCTX\u0000\u0001\u000b\u001c\u007f\u00a0";

    /** With other digits, the head of another sound response could result. */
    private static final Pattern LENGTH_FIELD = Pattern.compile("Content-Length: [0-9]+");

    private static final Pattern FINAL_STATUS_LINE = Pattern.compile("HTTP/(1\\.[01]) ([2-5][0-9]{2})[ \r\n]");

    /** How the end of the body is marked. */
    enum Framing {
        LENGTH,
        CHUNKS,
        END_OF_CONNECTION
    }

    /**
     * A response on its own connection.
     *
     * @param status the status that the server gave
     * @param body the whole body
     * @param bytes what the server sends before the connection ends
     * @param edits the number of changes to the head
     */
    record Scene(
            String method,
            Framing framing,
            int status,
            String body,
            String bytes,
            int edits,
            boolean cut,
            boolean reset) {

        boolean isSound() {
            return edits == 0 && !cut && !reset;
        }

        boolean isDeliveredAs(ResponseReceived response) {
            return response.status() == status && new String(response.body(), StandardCharsets.ISO_8859_1).equals(body);
        }

        String label() {
            String state = isSound() ? "sound" : edits == 0 ? "cut or reset" : cut ? "spoiled and cut" : "spoiled";
            return framing + " " + state;
        }
    }

    @Provide
    Arbitrary<Scene> scenes() {
        return Arbitraries.randomValue(SpoiledHeadPropertyTest::newScene);
    }

    @Property(tries = 3_000, shrinking = ShrinkingMode.OFF, afterFailure = AfterFailureMode.RANDOM_SEED)
    void onlyTheWholeBodyIsDeliveredUnderItsOwnStatus(@ForAll("scenes") Scene scene) throws Exception {
        BackendResult result = play(scene);
        boolean delivered = result instanceof ResponseReceived;
        Statistics.label("delivered").collect(scene.label(), delivered);
        if (result instanceof ResponseReceived response) {
            assertThat(scene.isDeliveredAs(response))
                    .as(
                            "%s%ndelivered as %d %s %d bytes",
                            scene, response.status(), response.headers(), response.body().length)
                    .isTrue();
        } else {
            assertThat(result).as(scene.toString()).isInstanceOf(NoValidResponse.class);
        }
        assertThat(delivered || !scene.isSound()).as(scene.toString()).isTrue();
    }

    private static Scene newScene(Random random) {
        Framing framing = Framing.values()[random.nextInt(Framing.values().length)];
        int status = GeneratedResponse.pick(random, List.of(200, 200, 201, 404, 500));
        String body = newBody(random);
        boolean reset = random.nextInt(4) == 0;
        // A body that ends with its connection is cut without a trace if the connection ends in order.
        boolean cut = random.nextBoolean() && (framing != Framing.END_OF_CONNECTION || reset);
        String head = newHead(random, framing, status, body.length(), !cut);
        int edits = random.nextInt(MOST_EDITS + 1);
        String spoiledHead = spoil(random, head, edits);
        while (beginsOtherResponse(spoiledHead, status)) {
            spoiledHead = spoil(random, head, edits);
        }
        String sentBody = framing == Framing.CHUNKS ? inChunks(random, body) : body;
        if (cut) {
            // More than the rest of the head could fill up.
            int mostBytes = body.length() - 2 * head.length();
            sentBody = sentBody.substring(0, random.nextInt(mostBytes));
        }
        return new Scene(
                GeneratedResponse.pick(random, List.of("GET", "POST")),
                framing,
                status,
                body,
                spoiledHead + sentBody,
                edits,
                cut,
                reset);
    }

    private static String newBody(Random random) {
        int length = 1_500 + random.nextInt(1_500);
        StringBuilder body = new StringBuilder("body ");
        while (body.length() < length) {
            body.append(random.nextInt(20) == 0 ? "\r\n" : (char) ('a' + random.nextInt(26)));
        }
        return body.toString();
    }

    private static String newHead(Random random, Framing framing, int status, int bodyBytes, boolean bodyIsWhole) {
        List<String> fields = new ArrayList<>(List.of(
                "Cassiabank-Request-Id: id-1", "Signed: seal", "Content-Type: text/plain", "Via: HTTP/1.1 proxy"));
        fields.add(
                switch (framing) {
                    case LENGTH -> "Content-Length: " + bodyBytes;
                    case CHUNKS -> "Transfer-Encoding: chunked";
                    case END_OF_CONNECTION -> CLOSE;
                });
        if (framing != Framing.END_OF_CONNECTION && random.nextBoolean()) {
            // Without its framing a part of a body that is announced to end with the connection looks whole.
            fields.add(bodyIsWhole && random.nextBoolean() ? CLOSE : "Keep-Alive: timeout=5");
        }
        Collections.shuffle(fields, random);
        String interim = random.nextInt(5) == 0 ? "HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n" : "";
        return interim + "HTTP/1.1 " + status + " Text\r\n" + String.join("\r\n", fields) + "\r\n\r\n";
    }

    private static String spoil(Random random, String head, int edits) {
        String spoiledHead = head;
        for (int edit = 0; edit < edits; edit++) {
            spoiledHead = edit(random, spoiledHead);
        }
        return spoiledHead;
    }

    /** Tells whether the edits make a valid status line of the final one, with another status or of HTTP/1.0. */
    private static boolean beginsOtherResponse(String head, int status) {
        return FINAL_STATUS_LINE
                .matcher(head)
                .results()
                .reduce((first, second) -> second)
                .filter(last -> last.group(1).equals("1.0") || Integer.parseInt(last.group(2)) != status)
                .isPresent();
    }

    /** Replaces or removes one byte, or adds one; half of the time near what frames the body. */
    private static String edit(Random random, String head) {
        // Without a length, a byte more in the last line end is a byte of the body.
        int position = random.nextInt(head.length() - (head.contains(CLOSE) ? 2 : 0));
        Matcher framingLine = Pattern.compile("\r\n(?:Content-L|Transfer-E|Connection)[^\r]*\r\n")
                .matcher(head);
        if (random.nextBoolean() && framingLine.find()) {
            position = framingLine.start() + random.nextInt(framingLine.end() - framingLine.start());
        }
        String added = String.valueOf(EDIT_BYTES.charAt(random.nextInt(EDIT_BYTES.length())));
        int kind = isProtected(head, position) ? 0 : random.nextInt(3);
        return head.substring(0, position)
                + (kind == 2 ? "" : added)
                + head.substring(kind == 0 ? position : position + 1);
    }

    private static boolean isProtected(String head, int position) {
        return Character.isDigit(head.charAt(position))
                && LENGTH_FIELD
                        .matcher(head)
                        .results()
                        .anyMatch(match -> match.start() <= position && position < match.end());
    }

    private static String inChunks(Random random, String body) {
        StringBuilder chunks = new StringBuilder();
        int position = 0;
        while (position < body.length()) {
            int length = Math.min(body.length() - position, 1 + random.nextInt(body.length()));
            chunks.append(Integer.toHexString(length)).append("\r\n");
            chunks.append(body, position, position + length).append("\r\n");
            position += length;
        }
        return chunks.append("0\r\n\r\n").toString();
    }

    private static BackendResult play(Scene scene) throws Exception {
        try (BackendClient client = BackendClient.create(
                        new BackendClientSettings(500, 1_000_000, 4, 5_000, 2_000),
                        new PlatformLikeHeaderConventions(),
                        ResponseMemory.ofHeap());
                ScriptedServer server = new ScriptedServer((request, socket) -> {
                    ScriptedServer.write(socket, scene.bytes());
                    end(socket, scene.reset());
                })) {
            return client.send(BackendRequest.forAddress(
                    server.address(),
                    scene.method(),
                    "/",
                    Map.of(),
                    new byte[0],
                    "id-1",
                    scene.method().equals("GET"),
                    5_000));
        }
    }

    private static void end(Socket socket, boolean reset) throws Exception {
        if (reset) {
            socket.setSoLinger(true, 0);
        }
        socket.close();
    }
}
