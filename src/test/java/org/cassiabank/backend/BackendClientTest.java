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
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import okhttp3.Headers;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okio.BufferedSink;
import org.cassiabank.http.DecodingTurns;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against requests that a client library resends by itself, against responses that are altered, incomplete or
 * belong to another request of a reused connection, and against a "not sent" result although bytes may have
 * been written.
 */
@Timeout(20)
class BackendClientTest {
    /** The requests of {@link #send} in the current test. */
    private int sentRequests;

    /** Connects within 300 ms, accepts 1 MB, keeps 2 idle connections for 100 ms, none for unrepeatable requests. */
    private final BackendClient client = BackendClient.create(new BackendClientSettings(300, 1_000_000, 2, 100, 0));

    private final List<AutoCloseable> resources = new ArrayList<>(List.of(client));

    @AfterEach
    void closeAll() throws Exception {
        for (AutoCloseable resource : resources.reversed()) {
            resource.close();
        }
    }

    private ScriptedServer startServer(ScriptedServer.Script script) throws IOException {
        ScriptedServer server = new ScriptedServer(script);
        resources.add(server);
        return server;
    }

    private static BackendRequest request(
            String address, String method, String requestId, boolean repeatable, long timeoutMillis) {
        byte[] body = method.equals("POST") ? "order".getBytes(StandardCharsets.UTF_8) : new byte[0];
        return BackendRequest.forAddress(
                address, method, "/p?a=1", Map.of(), body, requestId, repeatable, timeoutMillis);
    }

    /** Sends a request with an identifier of its own, the first one with {@code id-1}. */
    private BackendResult send(ScriptedServer server, String method, boolean repeatable) {
        return client.send(request(server.address(), method, "id-" + ++sentRequests, repeatable, 5_000));
    }

    private static NoValidResponseReason noValidResponseReason(BackendResult result) {
        assertThat(result).isInstanceOf(NoValidResponse.class);
        return ((NoValidResponse) result).reason();
    }

    private static String bodyText(BackendResult result) {
        assertThat(result).isInstanceOf(ResponseReceived.class);
        return new String(((ResponseReceived) result).body(), StandardCharsets.ISO_8859_1);
    }

    @ParameterizedTest
    @CsvSource({
        "408, Connection: close", "408, Retry-After: 0", "503, Retry-After: 0", "302, Location: /other",
        "307, Location: /other", "308, Location: /other", "401, WWW-Authenticate: Basic", "421, X: y"
    })
    void statusesThatOkHttpFollowsUpAreDeliveredAfterOneRequest(int status, String header) throws IOException {
        ScriptedServer server = startServer((request, socket) ->
                ScriptedServer.write(socket, request.responseHead(status) + header + "\r\nContent-Length: 0\r\n\r\n"));
        for (String method : List.of("GET", "POST")) {
            for (boolean repeatable : new boolean[] {true, false}) {
                server.receivedRequests.clear();
                ResponseReceived response = (ResponseReceived) send(server, method, repeatable);
                assertThat(response.status()).isEqualTo(status);
                assertThat(server.receivedRequests).hasSize(1);
                if (!header.startsWith("Connection")) {
                    assertThat(response.headers()).containsKey(header.substring(0, header.indexOf(':')));
                }
            }
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"GET", "POST"})
    void aRequestIsNotResentWhenTheConnectionClosesAfterItWasWritten(String method) throws IOException {
        ScriptedServer server = startServer((request, socket) -> socket.close());
        assertThat(noValidResponseReason(send(server, method, true))).isEqualTo(NoValidResponseReason.CONNECTION_LOST);
        assertThat(noValidResponseReason(send(server, method, false))).isEqualTo(NoValidResponseReason.CONNECTION_LOST);
        assertThat(server.receivedRequests).hasSize(2);
    }

    @Test
    void aPostOnAStalePooledConnectionIsNeitherResentNorReportedAsUnsent() throws Exception {
        AtomicInteger requests = new AtomicInteger();
        ScriptedServer server = startServer((request, socket) -> {
            if (requests.incrementAndGet() == 1) {
                ScriptedServer.respondingWith("first").respond(request, socket);
            } else {
                socket.close();
            }
        });
        assertThat(bodyText(send(server, "POST", true))).isEqualTo("first");
        assertThat(noValidResponseReason(send(server, "POST", true))).isEqualTo(NoValidResponseReason.CONNECTION_LOST);
        assertThat(server.acceptedConnections).hasValue(1);
        assertThat(server.receivedRequests).hasSize(2);
    }

    @Test
    void messagesArriveUnalteredExceptForHopByHopHeaders() throws IOException {
        byte[] compressed = {0x1f, (byte) 0x8b, 8, 0, 1, 2, 3};
        ScriptedServer server = startServer((request, socket) -> {
            ScriptedServer.write(
                    socket,
                    request.responseHead(200)
                            + "Content-Encoding: gzip\r\nKeep-Alive: timeout=5\r\nX-A: 1\r\nx-a: 2\r\n"
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
        assertThat(response.notice().leaving()).isTrue();
        assertThat(response.headers()).containsEntry("X-A", List.of("1", "2")).doesNotContainKey("Keep-Alive");
        ScriptedServer.ReceivedRequest received = server.receivedRequests.getFirst();
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
        "TRUNCATED_RESPONSE, 'Connection: close\r\n\r\nuntil close'",
        "MALFORMED_HEAD, 'Content-Type: text/plain\r\n\r\nuntil close'",
        "MALFORMED_HEAD, 'Content-Length: 3\r\nContent-Length: 5\r\n\r\nabcde'",
        "REQUEST_ID_MISMATCH, 'Cassiabank-Request-Id: other\r\nContent-Length: 0\r\n\r\n'",
        "RESPONSE_TOO_LARGE, 'Content-Length: 1000001\r\n\r\n'",
        "CONNECTION_LOST, 'X-Half'"
    })
    void incompleteResponsesAndResponsesToOtherRequestsAreNotValid(NoValidResponseReason expected, String rest)
            throws IOException {
        ScriptedServer server = startServer((request, socket) -> {
            String padding = expected == NoValidResponseReason.RESPONSE_TOO_LARGE ? "x".repeat(1_000_001) : "";
            ScriptedServer.write(socket, request.responseHead(200) + rest + padding);
            socket.shutdownOutput();
        });
        assertThat(noValidResponseReason(send(server, "GET", true))).isEqualTo(expected);
        assertThat(noValidResponseReason(send(server, "POST", false))).isEqualTo(expected);
        assertThat(server.receivedRequests).hasSize(2);
    }

    @Test
    void aResponseWithoutARequestIdIsNotValidEvenIfItShedsTheRequest() throws IOException {
        ScriptedServer server = startServer((request, socket) -> ScriptedServer.write(
                socket, "HTTP/1.1 503 Text\r\nCassiabank-Not-Run: true\r\nContent-Length: 0\r\n\r\n"));
        assertThat(noValidResponseReason(send(server, "GET", true)))
                .isEqualTo(NoValidResponseReason.REQUEST_ID_MISMATCH);
    }

    @Test
    void onlyStatus503WithTheNotRunHeaderShedsTheRequest() throws IOException {
        ScriptedServer server = startServer((request, socket) -> {
            int status = Integer.parseInt(request.header("X-Status"));
            String notRunHeader = "Cassiabank-Not-Run: " + request.header("X-Mark") + "\r\nContent-Length: 0\r\n\r\n";
            ScriptedServer.write(socket, request.responseHead(status) + notRunHeader);
        });
        for (String[] statusAndNotRun : new String[][] {{"503", "true"}, {"503", "false"}, {"500", "true"}}) {
            Map<String, List<String>> headers =
                    Map.of("X-Status", List.of(statusAndNotRun[0]), "X-Mark", List.of(statusAndNotRun[1]));
            BackendResult result = client.send(
                    BackendRequest.forAddress(server.address(), "GET", "/", headers, new byte[0], "id-1", true, 5_000));
            boolean shed = statusAndNotRun[0].equals("503") && statusAndNotRun[1].equals("true");
            assertThat(result instanceof RequestShed).isEqualTo(shed);
            assertThat(result.attemptResult().provesNotRun()).isEqualTo(shed);
        }
    }

    /** Guards against delivering the late response of a timed-out request to the next request on its connection. */
    @Test
    void aResponseAfterTheTimeoutIsNotDeliveredToTheNextRequest() throws Exception {
        CountDownLatch timedOut = new CountDownLatch(1);
        ScriptedServer server = startServer((request, socket) -> {
            if (request.header("Cassiabank-Request-Id").equals("slow")) {
                timedOut.await();
            }
            ScriptedServer.respondingWith(request.header("Cassiabank-Request-Id"))
                    .respond(request, socket);
        });
        assertThat(bodyText(client.send(request(server.address(), "GET", "first", true, 5_000))))
                .isEqualTo("first");
        BackendResult slow = client.send(request(server.address(), "GET", "slow", true, 150));
        assertThat(noValidResponseReason(slow)).isEqualTo(NoValidResponseReason.TIMEOUT);
        timedOut.countDown();
        assertThat(bodyText(client.send(request(server.address(), "GET", "next", true, 5_000))))
                .isEqualTo("next");
        assertThat(server.receivedRequests.getLast().connectionNumber()).isEqualTo(2);
    }

    @Test
    void anExtraResponseOnAPooledConnectionIsNotDeliveredToTheNextRequest() throws IOException {
        ScriptedServer server = startServer((request, socket) -> {
            String response = request.responseHead(200) + "Content-Length: 1\r\n\r\n1";
            ScriptedServer.write(socket, response + response);
        });
        assertThat(bodyText(client.send(request(server.address(), "GET", "one", true, 5_000))))
                .isEqualTo("1");
        for (String requestId : List.of("two", "three")) {
            assertThat(bodyText(client.send(request(server.address(), "GET", requestId, true, 5_000))))
                    .isEqualTo("1");
        }
        assertThat(server.receivedRequests)
                .extracting(ScriptedServer.ReceivedRequest::connectionNumber)
                .containsExactly(1, 2, 3);
    }

    @Test
    void aSecondCopyOfAResponseThatArrivesLateTakesItsConnectionOutOfUse() throws Exception {
        Semaphore writtenCopies = new Semaphore(0);
        ScriptedServer server = startServer((request, socket) -> {
            ScriptedServer.respondingWith(request.header("Cassiabank-Request-Id"))
                    .respond(request, socket);
            TimeUnit.MILLISECONDS.sleep(30);
            ScriptedServer.respondingWith(request.header("Cassiabank-Request-Id"))
                    .respond(request, socket);
            writtenCopies.release();
        });
        for (String requestId : List.of("one", "two", "three")) {
            assertThat(bodyText(client.send(request(server.address(), "GET", requestId, true, 5_000))))
                    .isEqualTo(requestId);
            assertThat(writtenCopies.tryAcquire(5, TimeUnit.SECONDS)).isTrue();
            TimeUnit.MILLISECONDS.sleep(60);
        }
        assertThat(server.acceptedConnections).hasValue(3);
    }

    /** The call on the new connection is another one to OkHttp, without the timeout of the first. */
    @Test
    void anAttemptThatLeavesADirtyConnectionStillEndsInItsTime() throws Exception {
        ScriptedServer server = startServer((request, socket) -> {
            if (request.connectionNumber() == 1) {
                ScriptedServer.respondingWith("one").respond(request, socket);
                TimeUnit.MILLISECONDS.sleep(30);
                ScriptedServer.respondingWith("one").respond(request, socket);
            }
        });
        client.send(request(server.address(), "GET", "one", true, 5_000));
        TimeUnit.MILLISECONDS.sleep(60);
        long startNanos = System.nanoTime();
        assertThat(noValidResponseReason(client.send(request(server.address(), "GET", "two", true, 300))))
                .isEqualTo(NoValidResponseReason.TIMEOUT);
        assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos))
                .isBetween(250L, 2_000L);
        assertThat(server.acceptedConnections).hasValue(2);
    }

    @Test
    void anAttemptWithoutAResponseTimesOutAndClosesItsConnection() throws Exception {
        ScriptedServer server = startServer((request, socket) -> {});
        long startNanos = System.nanoTime();
        assertThat(noValidResponseReason(client.send(request(server.address(), "POST", "id-1", false, 200))))
                .isEqualTo(NoValidResponseReason.TIMEOUT);
        assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos))
                .isBetween(190L, 2_000L);
        server.closedConnections.acquire();
    }

    @Test
    void cancellingClosesTheConnectionAndReportsWhetherBytesWereWritten() throws Exception {
        CountDownLatch arrived = new CountDownLatch(1);
        ScriptedServer server = startServer((request, socket) -> arrived.countDown());
        BackendCall unsent = client.newCall(request(server.address(), "POST", "id-1", false, 5_000));
        unsent.cancel();
        assertThat(unsent.execute()).isEqualTo(new Cancelled(false));
        BackendCall call = client.newCall(request(server.address(), "POST", "id-2", false, 5_000));
        CompletableFuture<BackendResult> result = new CompletableFuture<>();
        Thread.startVirtualThread(() -> result.complete(call.execute()));
        arrived.await();
        call.cancel();
        assertThat(result.get()).isEqualTo(new Cancelled(true));
        server.closedConnections.acquire();
    }

    @Test
    void aConnectionThatCannotBeOpenedProvesThatNothingWasSent() throws Exception {
        int closedPort;
        // No thread waits in accept, because that would keep the port open for a moment after the listener is closed.
        try (ServerSocket closedListener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            closedPort = closedListener.getLocalPort();
        }
        assertThat(client.send(request("127.0.0.1:" + closedPort, "POST", "id-1", false, 5_000)))
                .isInstanceOf(NotSent.class);
        try (ServerSocket fullListener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            // While the queue of unaccepted connections is full, the system drops the packets that open another one.
            assertThatThrownBy(() -> {
                        while (true) {
                            Socket waiting = new Socket();
                            resources.add(waiting);
                            waiting.connect(fullListener.getLocalSocketAddress(), 200);
                        }
                    })
                    .isInstanceOf(SocketTimeoutException.class);
            String address = "127.0.0.1:" + fullListener.getLocalPort();
            assertThat(client.send(request(address, "POST", "id-1", false, 5_000)))
                    .isInstanceOf(NotSent.class);
        }
    }

    /** Guards against using requestHeadersEnd as the first write: part of a long head is written before that event. */
    @Test
    void aPartlyWrittenHeadIsNotReportedAsUnsent() throws Exception {
        try (ServerSocket silentListener = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            Map<String, List<String>> headers = Map.of("X-Long", List.of("x".repeat(16 << 20)));
            BackendCall call = client.newCall(BackendRequest.forAddress(
                    "127.0.0.1:" + silentListener.getLocalPort(),
                    "GET",
                    "/",
                    headers,
                    new byte[0],
                    "id-1",
                    false,
                    15_000));
            CompletableFuture<BackendResult> result = new CompletableFuture<>();
            Thread.startVirtualThread(() -> result.complete(call.execute()));
            try (Socket accepted = silentListener.accept()) {
                assertThat(accepted.getInputStream().read()).isEqualTo('G');
                call.cancel();
                assertThat(result.get()).isEqualTo(new Cancelled(true));
            }
        }
    }

    /** Guards against a socket whose writes are not counted, which would make every failure count as sent. */
    @Test
    void aHeadThatIsOnlyBufferedIsReportedAsUnsent() throws Exception {
        ScriptedServer server = startServer((request, socket) -> {});
        AttemptTrace trace = AttemptTrace.create(Long.MAX_VALUE, "id-1");
        OkHttpClient okHttp = new OkHttpClient.Builder()
                .socketFactory(MeteredSocketFactory.create(DecodingTurns.create()))
                .eventListener(trace)
                .build();
        RequestBody failingBody = new RequestBody() {
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
                .post(failingBody)
                .tag(Headers.class, Headers.of())
                .build();
        assertThatThrownBy(() -> okHttp.newCall(request).execute()).hasMessage("body cannot be read");
        assertThat(trace.mayHaveWritten()).isFalse();
        server.closedConnections.acquire();
        assertThat(server.receivedRequests).isEmpty();
    }

    @Test
    void unrepeatableRequestsUseFreshConnectionsAndOthersReuseTwoUntilTheyAreTooOld() throws Exception {
        CountDownLatch allArrived = new CountDownLatch(4);
        ScriptedServer server = startServer((request, socket) -> {
            if (request.header("Cassiabank-Request-Id").equals("together")) {
                allArrived.countDown();
                allArrived.await();
            }
            ScriptedServer.respondingWith("x").respond(request, socket);
        });
        send(server, "POST", false);
        send(server, "POST", false);
        assertThat(server.receivedRequests.getLast().connectionNumber()).isEqualTo(2);
        assertThat(server.receivedRequests.getLast().header("Connection")).isEqualTo("close");
        server.closedConnections.acquire(2);
        send(server, "POST", true);
        send(server, "POST", true);
        assertThat(server.receivedRequests.getLast().connectionNumber()).isEqualTo(3);
        try (var executor = Executors.newVirtualThreadPerTaskExecutor()) {
            for (int index = 0; index < 4; index++) {
                executor.submit(() -> client.send(request(server.address(), "GET", "together", true, 5_000)));
            }
        }
        assertThat(server.acceptedConnections).hasValue(6);
        // Two of four are closed immediately because at most two may be idle, the others after the maximum idle time.
        server.closedConnections.acquire(4);
    }

    @Test
    void pathsThatTheClientWouldResolveOrTruncateAreRejected() {
        for (String path : List.of("/a/../b", "/a/%2E%2e/b", "/a/./b", "a", "/a#b", "/a\\b")) {
            assertThatThrownBy(() -> BackendRequest.forAddress(
                            "127.0.0.1:1", "GET", path, Map.of(), new byte[0], "id-1", true, 1))
                    .isInstanceOf(IllegalArgumentException.class);
        }
    }
}
