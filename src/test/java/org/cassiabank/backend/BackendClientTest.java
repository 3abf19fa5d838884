package org.cassiabank.backend;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import okhttp3.Headers;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okio.BufferedSink;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against repeated requests, mixed-up, partial or altered responses, and against unproven "not sent" results.
 */
@Timeout(20)
class BackendClientTest {
    private final BackendClient client = BackendClient.create(new BackendClientSettings(300, 1_000_000, 2, 100, 0));
    private final List<AutoCloseable> resources = new ArrayList<>(List.of(client));

    @AfterEach
    void closeAll() throws Exception {
        for (AutoCloseable resource : resources.reversed()) {
            resource.close();
        }
    }

    private ScriptedServer serve(ScriptedServer.Script script) throws IOException {
        ScriptedServer server = new ScriptedServer(script);
        resources.add(server);
        return server;
    }

    private static BackendRequest request(String address, String method, String id, boolean repeatable, long millis) {
        byte[] body = method.equals("POST") ? "order".getBytes(StandardCharsets.UTF_8) : new byte[0];
        return BackendRequest.forAddress(address, method, "/p?a=1", Map.of(), body, id, repeatable, millis);
    }

    private BackendResult send(ScriptedServer server, String method, boolean repeatable) {
        return client.send(request(server.address(), method, "id-1", repeatable, 5_000));
    }

    private static NoValidResponseReason reason(BackendResult result) {
        assertThat(result).isInstanceOf(NoValidResponse.class);
        return ((NoValidResponse) result).reason();
    }

    private static String text(BackendResult result) {
        assertThat(result).isInstanceOf(ResponseReceived.class);
        return new String(((ResponseReceived) result).body(), StandardCharsets.ISO_8859_1);
    }

    @ParameterizedTest
    @CsvSource({
        "408, Connection: close", "408, Retry-After: 0", "503, Retry-After: 0", "302, Location: /other",
        "307, Location: /other", "308, Location: /other", "401, WWW-Authenticate: Basic", "421, X: y"
    })
    void statusesThatOkHttpFollowsUpAreDeliveredAfterOneRequest(int status, String header) throws IOException {
        ScriptedServer server = serve((request, socket) ->
                ScriptedServer.write(socket, request.answerHead(status) + header + "\r\nContent-Length: 0\r\n\r\n"));
        for (String method : List.of("GET", "POST")) {
            for (boolean repeatable : new boolean[] {true, false}) {
                server.received.clear();
                ResponseReceived response = (ResponseReceived) send(server, method, repeatable);
                assertThat(response.status()).isEqualTo(status);
                assertThat(server.received).hasSize(1);
                if (!header.startsWith("Connection")) {
                    assertThat(response.headers()).containsKey(header.substring(0, header.indexOf(':')));
                }
            }
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"GET", "POST"})
    void aRequestIsNotResentWhenTheConnectionClosesAfterItWasWritten(String method) throws IOException {
        ScriptedServer server = serve((request, socket) -> socket.close());
        assertThat(reason(send(server, method, true))).isEqualTo(NoValidResponseReason.CONNECTION_LOST);
        assertThat(reason(send(server, method, false))).isEqualTo(NoValidResponseReason.CONNECTION_LOST);
        assertThat(server.received).hasSize(2);
    }

    @Test
    void aPostOnAStalePooledConnectionIsNeitherResentNorCalledUnsent() throws Exception {
        ScriptedServer server = serve((request, socket) -> {
            ScriptedServer.answering("first").run(request, socket);
            socket.close();
        });
        assertThat(text(send(server, "POST", true))).isEqualTo("first");
        server.closed.acquire();
        assertThat(reason(send(server, "POST", true))).isEqualTo(NoValidResponseReason.CONNECTION_LOST);
        assertThat(server.connections).hasValue(1);
    }

    @Test
    void messagesArriveUnalteredButForHopByHopHeaders() throws IOException {
        byte[] compressed = {0x1f, (byte) 0x8b, 8, 0, 1, 2, 3};
        ScriptedServer server = serve((request, socket) -> {
            ScriptedServer.write(
                    socket,
                    request.answerHead(200) + "Content-Encoding: gzip\r\nKeep-Alive: timeout=5\r\nX-A: 1\r\nx-a: 2\r\n"
                            + "Cassiabank-Leaving: true\r\nContent-Length: 7\r\n\r\n");
            socket.getOutputStream().write(compressed);
        });
        Map<String, List<String>> headers = Map.of(
                "Connection", List.of("close, X-Hop"),
                "X-Hop", List.of("1"),
                "TE", List.of("trailers"),
                "Expect", List.of("100-continue"),
                "Content-Length", List.of("99"),
                "Content-Type", List.of("text/x"),
                "Cassiabank-Request-Id", List.of("of-caller"));
        ResponseReceived response = (ResponseReceived) client.send(BackendRequest.forAddress(
                server.address(), "POST", "/a%2Fb?c", headers, compressed, "id-1", true, 5_000));
        assertThat(response.body()).isEqualTo(compressed);
        assertThat(response.serverLeaving()).isTrue();
        assertThat(response.headers()).containsEntry("X-A", List.of("1", "2")).doesNotContainKey("Keep-Alive");
        ScriptedServer.Received received = server.received.getFirst();
        assertThat(received.body()).isEqualTo(compressed);
        assertThat(received.head().lines().filter(line -> !line.isEmpty()))
                .containsExactlyInAnyOrder(
                        "POST /a%2Fb?c HTTP/1.1",
                        "Host: " + server.address(),
                        "Content-Type: text/x",
                        "Content-Length: 7",
                        "Cassiabank-Request-Id: id-1",
                        "Cassiabank-Deadline-Millis: 5000");
    }

    @ParameterizedTest
    @CsvSource({
        "TRUNCATED_RESPONSE, 'Content-Length: 10\r\n\r\nshort'",
        "TRUNCATED_RESPONSE, 'Transfer-Encoding: chunked\r\n\r\n5\r\nwh'",
        "TRUNCATED_RESPONSE, 'Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n'",
        "TRUNCATED_RESPONSE, 'Content-Type: text/plain\r\n\r\nuntil close'",
        "TRUNCATED_RESPONSE, 'Content-Length: 3\r\nContent-Length: 5\r\n\r\nabcde'",
        "REQUEST_ID_MISMATCH, 'Cassiabank-Request-Id: other\r\nContent-Length: 0\r\n\r\n'",
        "RESPONSE_TOO_LARGE, 'Content-Length: 1000001\r\n\r\n'",
        "CONNECTION_LOST, 'X-Half'"
    })
    void answersThatAreNotCompleteOrNotOwnAreBroken(NoValidResponseReason expected, String rest) throws IOException {
        ScriptedServer server = serve((request, socket) -> {
            String padding = expected == NoValidResponseReason.RESPONSE_TOO_LARGE ? "x".repeat(1_000_001) : "";
            ScriptedServer.write(socket, request.answerHead(200) + rest + padding);
            socket.shutdownOutput();
        });
        assertThat(reason(send(server, "GET", true))).isEqualTo(expected);
        assertThat(reason(send(server, "POST", false))).isEqualTo(expected);
        assertThat(server.received).hasSize(2);
    }

    @Test
    void anAnswerWithoutAnIdentifierIsBrokenEvenIfItShedsTheRequest() throws IOException {
        ScriptedServer server = serve((request, socket) -> ScriptedServer.write(
                socket, "HTTP/1.1 503 Text\r\nCassiabank-Not-Run: true\r\nContent-Length: 0\r\n\r\n"));
        assertThat(reason(send(server, "GET", true))).isEqualTo(NoValidResponseReason.REQUEST_ID_MISMATCH);
    }

    @Test
    void onlyStatus503WithTheMarkIsAShedAnswer() throws IOException {
        ScriptedServer server = serve((request, socket) -> {
            int status = Integer.parseInt(request.header("X-Status"));
            String mark = "Cassiabank-Not-Run: " + request.header("X-Mark") + "\r\nContent-Length: 0\r\n\r\n";
            ScriptedServer.write(socket, request.answerHead(status) + mark);
        });
        for (String[] given : new String[][] {{"503", "true"}, {"503", "false"}, {"500", "true"}}) {
            Map<String, List<String>> headers = Map.of("X-Status", List.of(given[0]), "X-Mark", List.of(given[1]));
            BackendResult result = client.send(
                    BackendRequest.forAddress(server.address(), "GET", "/", headers, new byte[0], "id-1", true, 5_000));
            boolean shed = given[0].equals("503") && given[1].equals("true");
            assertThat(result instanceof RequestShed).isEqualTo(shed);
            assertThat(result.attemptResult().provesNotRun()).isEqualTo(shed);
        }
    }

    /** Guards against giving the late response of a timed-out request to the next request on its connection. */
    @Test
    void anAnswerAfterTheTimeoutDoesNotReachTheNextRequest() throws Exception {
        CountDownLatch timedOut = new CountDownLatch(1);
        ScriptedServer server = serve((request, socket) -> {
            if (request.header("Cassiabank-Request-Id").equals("slow")) {
                timedOut.await();
            }
            ScriptedServer.answering(request.header("Cassiabank-Request-Id")).run(request, socket);
        });
        assertThat(text(client.send(request(server.address(), "GET", "first", true, 5_000))))
                .isEqualTo("first");
        BackendResult slow = client.send(request(server.address(), "GET", "slow", true, 150));
        assertThat(reason(slow)).isEqualTo(NoValidResponseReason.TIMEOUT);
        timedOut.countDown();
        assertThat(text(client.send(request(server.address(), "GET", "next", true, 5_000))))
                .isEqualTo("next");
        assertThat(server.received.getLast().connection()).isEqualTo(2);
    }

    @Test
    void aSecondAnswerLeftOnAPooledConnectionIsNotTakenForTheNextRequest() throws IOException {
        ScriptedServer server = serve((request, socket) -> {
            String answer = request.answerHead(200) + "Content-Length: 1\r\n\r\n1";
            ScriptedServer.write(socket, answer + answer);
        });
        assertThat(text(client.send(request(server.address(), "GET", "one", true, 5_000))))
                .isEqualTo("1");
        BackendResult next = client.send(request(server.address(), "GET", "two", true, 5_000));
        assertThat(reason(next)).isEqualTo(NoValidResponseReason.REQUEST_ID_MISMATCH);
        assertThat(text(client.send(request(server.address(), "GET", "three", true, 5_000))))
                .isEqualTo("1");
    }

    @Test
    void aServerThatNeverAnswersEndsWithTheTimeoutAndSeesTheConnectionClose() throws Exception {
        ScriptedServer server = serve((request, socket) -> {});
        long start = System.nanoTime();
        assertThat(reason(client.send(request(server.address(), "POST", "id-1", false, 200))))
                .isEqualTo(NoValidResponseReason.TIMEOUT);
        assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start)).isBetween(190L, 2_000L);
        server.closed.acquire();
    }

    @Test
    void cancellingClosesTheConnectionAndTellsWhetherBytesWereWritten() throws Exception {
        CountDownLatch arrived = new CountDownLatch(1);
        ScriptedServer server = serve((request, socket) -> arrived.countDown());
        BackendCall unsent = client.newCall(request(server.address(), "POST", "id-1", false, 5_000));
        unsent.cancel();
        assertThat(unsent.execute()).isEqualTo(new Cancelled(false));
        BackendCall call = client.newCall(request(server.address(), "POST", "id-2", false, 5_000));
        CompletableFuture<BackendResult> result = new CompletableFuture<>();
        Thread.startVirtualThread(() -> result.complete(call.execute()));
        arrived.await();
        call.cancel();
        assertThat(result.get()).isEqualTo(new Cancelled(true));
        server.closed.acquire();
    }

    @Test
    void aConnectionThatCannotBeOpenedProvesThatNothingWasSent() throws Exception {
        int closedPort;
        // No thread waits in accept, because such a thread keeps the port open for a moment after the close.
        try (ServerSocket closed = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            closedPort = closed.getLocalPort();
        }
        assertThat(client.send(request("127.0.0.1:" + closedPort, "POST", "id-1", false, 5_000)))
                .isInstanceOf(NotSent.class);
        try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            // With a full queue of unaccepted connections the system drops the packets that open another one.
            assertThatThrownBy(() -> {
                        while (true) {
                            Socket waiting = new Socket();
                            resources.add(waiting);
                            waiting.connect(full.getLocalSocketAddress(), 200);
                        }
                    })
                    .isInstanceOf(SocketTimeoutException.class);
            String address = "127.0.0.1:" + full.getLocalPort();
            assertThat(client.send(request(address, "POST", "id-1", false, 5_000)))
                    .isInstanceOf(NotSent.class);
        }
    }

    /** Guards against taking requestHeadersEnd as the line: a long head is written in part before that event. */
    @Test
    void aHeadThatWasWrittenInPartIsNotCalledUnsent() throws Exception {
        try (ServerSocket silent = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            Map<String, List<String>> headers = Map.of("X-Long", List.of("x".repeat(16 << 20)));
            BackendCall call = client.newCall(BackendRequest.forAddress(
                    "127.0.0.1:" + silent.getLocalPort(), "GET", "/", headers, new byte[0], "id-1", false, 15_000));
            CompletableFuture<BackendResult> result = new CompletableFuture<>();
            Thread.startVirtualThread(() -> result.complete(call.execute()));
            try (Socket accepted = silent.accept()) {
                assertThat(accepted.getInputStream().read()).isEqualTo('G');
                call.cancel();
                assertThat(result.get()).isEqualTo(new Cancelled(true));
            }
        }
    }

    /** Guards against a socket whose writes are not counted, which would make each failure look like a sent one. */
    @Test
    void aHeadThatIsOnlyBufferedIsNotWritten() throws Exception {
        ScriptedServer server = serve((request, socket) -> {});
        AttemptTrace trace = new AttemptTrace();
        OkHttpClient okHttp = new OkHttpClient.Builder()
                .socketFactory(new WriteCountingSocketFactory())
                .eventListener(trace)
                .build();
        RequestBody failing = new RequestBody() {
            @Override
            public MediaType contentType() {
                return null;
            }

            @Override
            public void writeTo(BufferedSink sink) throws IOException {
                throw new IOException("body cannot be read");
            }
        };
        Request request = new Request.Builder()
                .url("http://" + server.address())
                .post(failing)
                .tag(Headers.class, Headers.of())
                .build();
        assertThatThrownBy(() -> okHttp.newCall(request).execute()).hasMessage("body cannot be read");
        assertThat(trace.mayHaveWritten()).isFalse();
        server.closed.acquire();
        assertThat(server.received).isEmpty();
    }

    @Test
    void unrepeatableRequestsUseFreshConnectionsAndOthersReuseTwoUntilTheyAreTooOld() throws Exception {
        CountDownLatch allArrived = new CountDownLatch(4);
        ScriptedServer server = serve((request, socket) -> {
            if (request.header("Cassiabank-Request-Id").equals("together")) {
                allArrived.countDown();
                allArrived.await();
            }
            ScriptedServer.answering("x").run(request, socket);
        });
        send(server, "POST", false);
        send(server, "POST", false);
        assertThat(server.received.getLast().connection()).isEqualTo(2);
        assertThat(server.received.getLast().header("Connection")).isEqualTo("close");
        server.closed.acquire(2);
        send(server, "POST", true);
        send(server, "POST", true);
        assertThat(server.received.getLast().connection()).isEqualTo(3);
        try (var executor = Executors.newVirtualThreadPerTaskExecutor()) {
            for (int index = 0; index < 4; index++) {
                executor.submit(() -> client.send(request(server.address(), "GET", "together", true, 5_000)));
            }
        }
        assertThat(server.connections).hasValue(6);
        // Two of four are closed at once because more are idle than allowed, the others after the idle age.
        server.closed.acquire(4);
    }

    @Test
    void pathsThatTheClientWouldResolveOrCutAreRejected() {
        for (String path : List.of("/a/../b", "/a/%2E%2e/b", "/a/./b", "a", "/a#b", "/a\\b")) {
            assertThatThrownBy(() -> BackendRequest.forAddress(
                            "127.0.0.1:1", "GET", path, Map.of(), new byte[0], "id-1", true, 1))
                    .isInstanceOf(IllegalArgumentException.class);
        }
    }
}
