package org.cassiabank.backend;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against the delivery of two responses as one: the first breaks off at any byte, and a second one follows on
 * the same connection.
 */
class JoinedResponseTest {
    private static final String ID = "id-1";
    private static final long LONG_IDLE_MILLIS = 60_000;
    private static final long TIMEOUT_MILLIS = 5_000;

    /** How the end of a body is marked. */
    enum Framing {
        LENGTH,
        CHUNKS,
        END_OF_CONNECTION
    }

    /** A response; the body does not end with bytes that could begin a head. */
    record ServerResponse(int status, String signature, Framing framing, String body) {
        static ServerResponse of(int status, Framing framing) {
            return new ServerResponse(
                    status, "seal-of-" + status, framing, ("the body of " + status + "\r\n").repeat(3) + "}");
        }

        String head(String requestId) {
            return "HTTP/1.1 " + status + " Reason of " + status + "\r\nDate: Sat, 05 Dec 2026 11:29:40 GMT\r\n"
                    + "Cassiabank-Request-Id: " + requestId + "\r\nSigned: " + signature + "\r\n"
                    + switch (framing) {
                        case LENGTH -> "Content-Length: " + body.length() + "\r\n\r\n";
                        case CHUNKS -> "Transfer-Encoding: chunked\r\n\r\n";
                        case END_OF_CONNECTION -> "Connection: close\r\n\r\n";
                    };
        }

        String bytes(String requestId) {
            return head(requestId)
                    + switch (framing) {
                        case LENGTH, END_OF_CONNECTION -> body;
                        case CHUNKS -> chunk(body.substring(0, 20)) + chunk(body.substring(20)) + "0\r\n\r\n";
                    };
        }

        private static String chunk(String data) {
            return Integer.toHexString(data.length()) + "\r\n" + data + "\r\n";
        }

        boolean isDeliveredAs(ResponseReceived response) {
            return response.status() == status
                    && List.of(signature).equals(response.headers().get("Signed"))
                    && new String(response.body(), StandardCharsets.ISO_8859_1).equals(body);
        }
    }

    @ParameterizedTest
    @CsvSource({
        "200,LENGTH,500", "200,CHUNKS,500", "200,END_OF_CONNECTION,500", "200,LENGTH,200", "200,CHUNKS,200",
        "200,END_OF_CONNECTION,200", "500,LENGTH,200", "500,CHUNKS,200", "500,END_OF_CONNECTION,200", "503,LENGTH,200"
    })
    void aResponseThatBreaksOffIsNotCompletedByAnotherResponse(int status, Framing framing, int nextStatus)
            throws Exception {
        ServerResponse first = ServerResponse.of(status, framing);
        for (Framing nextFraming : Framing.values()) {
            ServerResponse second = ServerResponse.of(nextStatus, nextFraming);
            assertDeliversOneOf(first, second, "GET");
        }
        assertDeliversOneOf(first, ServerResponse.of(nextStatus, Framing.LENGTH), "POST");
    }

    /** With the beginning of a success in front, the status no longer tells that the server has refused the request. */
    @ParameterizedTest
    @EnumSource(Framing.class)
    void aSuccessThatBreaksOffIsNotCompletedByTheRefusalOfAServerThatWasNotMeant(Framing framing) throws Exception {
        ServerResponse success = ServerResponse.of(200, framing);
        ServerResponse refusal = ServerResponse.of(421, Framing.LENGTH);
        String successBytes = success.bytes(ID);
        List<Integer> joined = new ArrayList<>();
        for (int length = 1; length < successBytes.length(); length++) {
            String part = successBytes.substring(0, length);
            BackendResult result = sendOnce("GET", (request, socket) -> {
                ScriptedServer.write(socket, part + refusal.bytes(ID));
                socket.shutdownOutput();
            });
            if (!(result instanceof NoValidResponse)) {
                joined.add(length);
            }
        }
        assertThat(joined).as("bytes of the success").isEmpty();
    }

    /** OkHttp reads the heads of interim responses and drops them. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 100 Cont",
                "HTTP/1.1 103 Early Hints\r\nLink: </style.css",
                "HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n",
                "HTTP/1.1 100 Continue\r\nX-Long: %s",
            })
    void anInterimResponseThatBreaksOffHidesNoFailureBeforeASuccess(String interim) throws Exception {
        String failure = "HTTP/1.1 500 Failure\r\nCassiabank-Request-Id: " + ID + "\r\nContent-Length: 0\r\n\r\n";
        String success = ServerResponse.of(200, Framing.LENGTH).bytes(ID);
        try (BackendClient client = newClient();
                ScriptedServer server = new ScriptedServer((request, socket) ->
                        ScriptedServer.write(socket, interim.formatted("a".repeat(10_000)) + failure + success))) {
            assertThat(client.send(request(server, "GET", ID))).isInstanceOf(NoValidResponse.class);
        }
    }

    private static void assertDeliversOneOf(ServerResponse first, ServerResponse second, String method)
            throws Exception {
        String firstBytes = first.bytes(ID);
        List<String> joined = new ArrayList<>();
        AtomicInteger length = new AtomicInteger();
        try (BackendClient client = newClient();
                ScriptedServer server = new ScriptedServer((request, socket) -> {
                    ScriptedServer.write(socket, firstBytes.substring(0, length.get()) + second.bytes(ID));
                    socket.shutdownOutput();
                })) {
            for (; length.get() <= firstBytes.length(); length.incrementAndGet()) {
                BackendResult result = client.send(request(server, method, ID));
                if (result instanceof ResponseReceived response
                        && !first.isDeliveredAs(response)
                        && !second.isDeliveredAs(response)) {
                    joined.add(length + " bytes of the first: " + response.status() + " " + response.headers());
                }
                assertThat(result.attemptResult().provesNotRun()).isFalse();
            }
        }
        assertThat(joined).as("%s, %s after %s", method, second, first).isEmpty();
    }

    @ParameterizedTest
    @EnumSource(Framing.class)
    void aResponseThatBreaksOffIsNotCompletedByOneThatFollowsLater(Framing framing) throws Exception {
        ServerResponse first = ServerResponse.of(200, framing);
        ServerResponse second = ServerResponse.of(500, Framing.LENGTH);
        String firstBytes = first.bytes(ID);
        for (int length = 10; length < firstBytes.length(); length += 17) {
            String part = firstBytes.substring(0, length);
            BackendResult result = sendOnce("GET", (request, socket) -> {
                ScriptedServer.write(socket, part);
                TimeUnit.MILLISECONDS.sleep(20);
                ScriptedServer.write(socket, second.bytes(ID));
                socket.shutdownOutput();
            });
            if (result instanceof ResponseReceived response) {
                assertThat(first.isDeliveredAs(response))
                        .as("%d bytes of the first, delivered as %s", length, response.headers())
                        .isTrue();
            }
        }
    }

    @Test
    void aResponseThatIsWrittenIntoAnotherIsNotDelivered() throws Exception {
        ServerResponse outer = ServerResponse.of(200, Framing.LENGTH);
        ServerResponse inner = ServerResponse.of(500, Framing.LENGTH);
        String outerBytes = outer.bytes(ID);
        List<Integer> joined = new ArrayList<>();
        AtomicInteger position = new AtomicInteger(1);
        try (BackendClient client = newClient();
                ScriptedServer server = new ScriptedServer((request, socket) -> {
                    int insertedAt = position.get();
                    ScriptedServer.write(
                            socket,
                            outerBytes.substring(0, insertedAt)
                                    + inner.bytes("id-before")
                                    + outerBytes.substring(insertedAt));
                    socket.shutdownOutput();
                })) {
            for (; position.get() < outerBytes.length(); position.incrementAndGet()) {
                BackendResult result = client.send(request(server, "GET", ID));
                if (result instanceof ResponseReceived response && !outer.isDeliveredAs(response)) {
                    joined.add(position.get());
                }
            }
        }
        assertThat(joined).as("positions of the inner response").isEmpty();
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void theBeginningOfALateCopyIsNotReadAsTheBeginningOfTheNextResponse(boolean copyIsWrittenAtOnce) throws Exception {
        ServerResponse first = ServerResponse.of(200, Framing.LENGTH);
        ServerResponse second = ServerResponse.of(500, Framing.LENGTH);
        String copy = first.bytes("id-before");
        List<Integer> joined = new ArrayList<>();
        int unanswered = 0;
        for (int length = 1; length < first.head("id-before").length(); length++) {
            String part = copy.substring(0, length);
            try (BackendClient client = newClient();
                    ScriptedServer server = new ScriptedServer((request, socket) -> {
                        if (request.header("Cassiabank-Request-Id").equals("id-before")) {
                            ScriptedServer.write(socket, copyIsWrittenAtOnce ? copy + part : copy);
                        } else if (copyIsWrittenAtOnce || request.connectionNumber() > 1) {
                            ScriptedServer.write(socket, second.bytes(ID));
                        } else {
                            ScriptedServer.write(socket, part + second.bytes(ID));
                        }
                    })) {
                assertThat(client.send(request(server, "GET", "id-before"))).isInstanceOf(ResponseReceived.class);
                BackendResult result = client.send(request(server, "GET", ID));
                if (!(result instanceof ResponseReceived response)) {
                    unanswered++;
                } else if (!second.isDeliveredAs(response)) {
                    joined.add(length);
                }
            }
        }
        assertThat(joined).as("bytes of the copy").isEmpty();
        if (copyIsWrittenAtOnce) {
            assertThat(unanswered)
                    .as("requests sent on a connection on which bytes were waiting")
                    .isZero();
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"GET", "POST"})
    void aWholeResponseIsDeliveredThoughAnotherFollows(String method) throws Exception {
        for (Framing framing : List.of(Framing.LENGTH, Framing.CHUNKS)) {
            ServerResponse first = ServerResponse.of(200, framing);
            String bytes =
                    first.bytes(ID) + ServerResponse.of(500, Framing.LENGTH).bytes(ID);
            BackendResult result = sendOnce(method, (request, socket) -> ScriptedServer.write(socket, bytes));
            assertThat(result).isInstanceOf(ResponseReceived.class);
            assertThat(first.isDeliveredAs((ResponseReceived) result)).isTrue();
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "The status line HTTP/1.1 500 Error stands for a failure.",
                "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n",
                "ends with H",
                "ends with HTTP/1.1 20",
                "ends with HTTP/1.1 200 OK"
            })
    void aBodyThatTellsOfAnotherResponseIsDelivered(String body) throws Exception {
        for (Framing framing : Framing.values()) {
            ServerResponse only = new ServerResponse(200, "seal", framing, body + " ".repeat(30));
            ServerResponse unpadded = new ServerResponse(200, "seal", Framing.LENGTH, body);
            for (ServerResponse response : List.of(only, unpadded)) {
                BackendResult result = sendOnce("GET", (request, socket) -> {
                    ScriptedServer.write(socket, response.bytes(ID));
                    if (response.framing() == Framing.END_OF_CONNECTION) {
                        socket.shutdownOutput();
                    }
                });
                assertThat(result).isInstanceOf(ResponseReceived.class);
                assertThat(response.isDeliveredAs((ResponseReceived) result)).isTrue();
            }
        }
    }

    @Test
    void aBodyIsNotCompletedByTheBeginningOfAnotherResponseWhoseRestArrivesLater() throws Exception {
        ServerResponse first = ServerResponse.of(200, Framing.LENGTH);
        ServerResponse second = ServerResponse.of(500, Framing.LENGTH);
        String secondBytes = second.bytes(ID);
        List<Integer> joined = new ArrayList<>();
        // In longer beginnings the identifier of the request tells the second response.
        int length = 1;
        while (length < first.body().length()) {
            String beginning = secondBytes.substring(0, length);
            String rest = secondBytes.substring(length);
            String part = first.bytes(ID).substring(0, first.bytes(ID).length() - length);
            AtomicLong pauseNanos = new AtomicLong();
            CountDownLatch pauseEnded = new CountDownLatch(1);
            try (BackendClient client = newClient();
                    ScriptedServer server = new ScriptedServer((request, socket) -> {
                        socket.setTcpNoDelay(true);
                        long startNanos = System.nanoTime();
                        ScriptedServer.write(socket, part + beginning);
                        TimeUnit.MILLISECONDS.sleep(5);
                        pauseNanos.set(System.nanoTime() - startNanos);
                        pauseEnded.countDown();
                        ScriptedServer.write(socket, rest);
                    })) {
                boolean delivered = client.send(request(server, "GET", ID)) instanceof ResponseReceived;
                assertThat(pauseEnded.await(10, TimeUnit.SECONDS)).isTrue();
                if (pauseNanos.get() >= MeteredSocket.SECOND_SEGMENT_NANOS / 2) {
                    // The rest may have come later than the client waits for it: this says nothing, and is tried again.
                    continue;
                }
                if (delivered) {
                    joined.add(length);
                }
            }
            length++;
        }
        assertThat(joined).as("bytes of the second response in the body").isEmpty();
    }

    static List<String> interimResponses() {
        return List.of(
                "HTTP/1.1 100 Continue\r\n\r\n",
                "HTTP/1.1 100 Continue\n\n",
                "HTTP/1.1 103 Hints\r\nVia: HTTP/1.1 ab\r\n\r\n");
    }

    @ParameterizedTest
    @MethodSource("interimResponses")
    void aBodyIsNotCompletedByAnInterimResponse(String interim) throws Exception {
        assertInterimResponseDoesNotCompleteABody(interim, 0);
        assertInterimResponseDoesNotCompleteABody(interim, 1);
    }

    private static void assertInterimResponseDoesNotCompleteABody(String interim, int pauseMillis) throws Exception {
        ServerResponse first = ServerResponse.of(200, Framing.LENGTH);
        String firstBytes = first.bytes(ID);
        String part = firstBytes.substring(0, firstBytes.length() - interim.length());
        BackendResult result = sendOnce("GET", (request, socket) -> {
            socket.setTcpNoDelay(true);
            String second = ServerResponse.of(500, Framing.LENGTH).bytes(ID);
            ScriptedServer.write(socket, part + interim + (pauseMillis == 0 ? second : ""));
            TimeUnit.MILLISECONDS.sleep(pauseMillis);
            ScriptedServer.write(socket, pauseMillis == 0 ? "" : second);
        });
        assertThat(result).as("pause of %d ms", pauseMillis).isInstanceOf(NoValidResponse.class);
    }

    @Test
    void aWholeResponseThatTellsOfAnotherIsDeliveredThoughOneFollowsInParts() throws Exception {
        String second = ServerResponse.of(500, Framing.LENGTH).bytes(ID);
        ServerResponse first = new ServerResponse(200, "seal", Framing.LENGTH, "HTTP/1.1 404 Not Found\r\n");
        for (int length = 1; length < 20; length++) {
            String beginning = second.substring(0, length);
            String rest = second.substring(length);
            BackendResult result = sendOnce("GET", (request, socket) -> {
                socket.setTcpNoDelay(true);
                ScriptedServer.write(socket, first.bytes(ID) + beginning);
                TimeUnit.MILLISECONDS.sleep(5);
                ScriptedServer.write(socket, rest);
            });
            assertThat(result).as("%d bytes behind the first response", length).isInstanceOf(ResponseReceived.class);
            assertThat(first.isDeliveredAs((ResponseReceived) result)).isTrue();
        }
    }

    /** Each joined body ends with the last chunk, and nothing that begins a response is in the data of its chunks. */
    static List<String> chunkedBodiesThatHideAnotherHead() {
        String another = ServerResponse.of(500, Framing.CHUNKS).head(ID);
        String emptyOne = another.replace("Transfer-Encoding: chunked", "Content-Length: 0");
        String statusLine = another.substring(0, another.indexOf("\r\n") + 2);
        String fieldsAndBody = another.substring(statusLine.length()) + "5\r\nab";
        return List.of(
                // In the extension of a chunk that breaks off.
                Integer.toHexString(fieldsAndBody.length()) + ";a=" + statusLine + fieldsAndBody + "cde\r\n0\r\n\r\n",
                // In the trailers, the extension of the last chunk, and a field of the trailers.
                "2\r\nab\r\n0\r\n" + emptyOne,
                "2\r\nab\r\n0;a=" + emptyOne,
                "2\r\nab\r\n0\r\nChecksum: a" + emptyOne,
                // Other bytes in a chunk, which move its last data behind its end.
                "5\r\nab" + "other bytes" + "cde\r\n0\r\n\r\n",
                "2\r\nab \r\n0\r\n\r\n");
    }

    /** The data of the chunks is whole. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "2 ab\r\nab\r\n0\r\n\r\n",
                "2;a=\u0001\r\nab\r\n0\r\n\r\n",
                "2;a=\r\r\nab\r\n0\r\n\r\n",
                "2\r\nab\r\n0 0\r\n\r\n",
                "2\r\nab\r\n0\r\nno field\r\n\r\n",
                "2\r\nab\r\n0\r\n: a\r\n\r\n",
                "2\r\nab\r\n0\r\nX Y: a\r\n\r\n",
                "2\r\nab\r\n0\r\nX: a\u0001\r\n\r\n",
                "2\r\nab\r\n0\r\nX: a\r\n folded\r\n\r\n"
            })
    void aChunkedBodyWithALineThatCannotBeReadIsNotDelivered(String chunks) throws Exception {
        String bytes = ServerResponse.of(200, Framing.CHUNKS).head(ID) + chunks;
        BackendResult result = sendOnce("GET", (request, socket) -> ScriptedServer.write(socket, bytes));
        assertThat(result).isInstanceOf(NoValidResponse.class);
        assertThat(((NoValidResponse) result).reason()).isEqualTo(NoValidResponseReason.TRUNCATED_RESPONSE);
    }

    @ParameterizedTest
    @MethodSource("chunkedBodiesThatHideAnotherHead")
    void aChunkedBodyWhoseFramingHidesOtherBytesIsNotDelivered(String chunks) throws Exception {
        String bytes = ServerResponse.of(200, Framing.CHUNKS).head(ID) + chunks;
        BackendResult result = sendOnce("GET", (request, socket) -> ScriptedServer.write(socket, bytes));
        assertThat(result).isInstanceOf(NoValidResponse.class);
        assertThat(((NoValidResponse) result).reason()).isEqualTo(NoValidResponseReason.TRUNCATED_RESPONSE);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "2\r\nab\r\n0\r\n\r\n",
                "2\nab\n0\n\n",
                "02 \r\nab\r\n000\r\nChecksum: a\r\n\r\n",
                "1;a=b\r\na\r\n1 ; c=\"d\"\r\nb\r\n0;e\r\n\r\n",
                "00000000000000000002\r\nab\r\n0\r\n\r\n"
            })
    void aChunkedBodyInEachPermittedFormIsDelivered(String chunks) throws Exception {
        String bytes = ServerResponse.of(200, Framing.CHUNKS).head(ID) + chunks;
        BackendResult result = sendOnce("GET", (request, socket) -> ScriptedServer.write(socket, bytes));
        assertThat(result).isInstanceOf(ResponseReceived.class);
        assertThat(((ResponseReceived) result).body()).asString().isEqualTo("ab");
    }

    private static BackendResult sendOnce(String method, ScriptedServer.Script script) throws IOException {
        try (BackendClient client = newClient();
                ScriptedServer server = new ScriptedServer(script)) {
            return client.send(request(server, method, ID));
        }
    }

    private static BackendClient newClient() {
        return BackendClient.create(
                new BackendClientSettings(300, 10_000, 4, LONG_IDLE_MILLIS, LONG_IDLE_MILLIS),
                new PlatformLikeHeaderConventions(),
                ResponseMemory.ofHeap());
    }

    private static BackendRequest request(ScriptedServer server, String method, String requestId) {
        return BackendRequest.forAddress(
                server.address(), method, "/", Map.of(), new byte[0], requestId, method.equals("GET"), TIMEOUT_MILLIS);
    }
}
