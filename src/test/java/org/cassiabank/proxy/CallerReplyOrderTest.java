package org.cassiabank.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against replies that a caller reads as those to another of its requests: refusals of requests that cannot be
 * read, which overtake the reply to an earlier pipelined request, so that an order that has run is reported as not run.
 * Also guards against requests that are routed by a missing, repeated or malformed {@code Host}, and against handlers
 * that fail with an error.
 */
class CallerReplyOrderTest {
    private static final CallerLimits LIMITS = new CallerLimits(10, 10, 1_024, 100, 1_000, 700, 2_000);
    private static final String SLOW_ORDER = "POST /slow HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\na";

    private final CopyOnWriteArrayList<String> handledTargets = new CopyOnWriteArrayList<>();
    private final ProxyMetrics metrics = ProxyMetrics.create();
    private final CallerServer server = CallerServer.create(LIMITS, this::replyTo, metrics);
    private int port;

    @BeforeEach
    void startServer() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            port = socket.getLocalPort();
        }
        server.start(new HostAndPort("127.0.0.1", port), Optional.empty());
    }

    @AfterEach
    void stopServer() {
        server.close();
    }

    @ParameterizedTest
    @CsvSource({
        "413, body-too-large, 'POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 101\r\n\r\n'",
        "413, body-too-large, 'POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 101\r\nExpect: 100-continue\r\n\r\n'",
        "413, body-too-large, 'POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nff\r\nBODY\r\n0\r\n'",
        "431, headers-too-large, 'GET /b HTTP/1.1\r\nHost: x\r\nA: BODYBODYBODYBODYBODY\r\n\r\n'",
        "400, malformed-request, 'POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: +4\r\n\r\n'",
        "400, malformed-host, 'GET /b HTTP/1.1\r\n\r\n'",
        "408, headers-overdue, 'GET /b HTTP/1.1\r\nHost: x'"
    })
    void aRefusalOfARequestComesAfterTheReplyToTheOrderBeforeIt(int status, String reason, String refused)
            throws IOException {
        String responses = exchange(SLOW_ORDER + refused.replace("BODY", "a".repeat(255)));
        assertThat(responses)
                .startsWith("HTTP/1.1 200")
                .containsSubsequence("path=/slow", "HTTP/1.1 " + status, "Cassiabank-Outcome: not-run", reason);
        assertThat(responses.split("HTTP/1.1 ", -1)).hasSize(3);
        assertThat(metrics.toText()).contains("cassiabank_refusals_total{reason=\"" + reason + "\"} 1.0");
    }

    @Test
    void nothingBehindARefusedRequestIsServed() throws IOException {
        exchange("POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 101\r\n\r\n" + "a".repeat(101)
                + "GET /behind HTTP/1.1\r\nHost: x\r\n\r\n");
        exchange("GET /b HTTP/1.1\r\nHost: a b\r\n\r\nGET /behind HTTP/1.1\r\nHost: x\r\n\r\n");
        assertThat(handledTargets).isEmpty();
    }

    @Test
    void aCallerIsToldToContinueOnlyAfterTheRepliesToItsEarlierRequests() throws IOException {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(5_000);
            write(
                    socket,
                    SLOW_ORDER
                            + "POST /next HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nExpect: 100-continue\r\n"
                            + "Connection: close\r\n\r\n");
            String first = readUntil(socket, "HTTP/1.1 100 Continue\r\n\r\n");
            assertThat(first).startsWith("HTTP/1.1 200").contains("path=/slow");
            write(socket, "abc");
            assertThat(readUntil(socket, "path=/next")).startsWith("HTTP/1.1 200");
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "Host: x\r\nHost: x\r\n",
                "Host: shop.example/a\r\n",
                "Host: a b\r\n",
                "Host: x,y\r\n",
                "Host: user@x\r\n",
                "Host: x:port\r\n",
                "Host: x?y\r\n"
            })
    void aMissingRepeatedOrMalformedHostIsRefused(String hostHeaders) throws IOException {
        assertThat(exchange("GET /a HTTP/1.1\r\n" + hostHeaders + "\r\n"))
                .startsWith("HTTP/1.1 400")
                .contains("Cassiabank-Outcome: not-run", "malformed-host");
        assertThat(handledTargets).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(strings = {"Host: x", "Host:", "Host: shop.example:8080", "Host: [::1]:80", "Host: 127.0.0.1"})
    void aValidHostIsAccepted(String hostHeader) throws IOException {
        assertThat(exchange("GET /a HTTP/1.1\r\n" + hostHeader + "\r\nConnection: close\r\n\r\n"))
                .startsWith("HTTP/1.1 200");
    }

    @Test
    void aRequestWithoutHostIsAcceptedInHttp10() throws IOException {
        assertThat(exchange("GET /a HTTP/1.0\r\n\r\n")).contains("200 OK");
    }

    @Test
    void anUploadThatHasBegunToArriveIsAnsweredDuringAPlannedStop() throws Exception {
        try (Socket idle = new Socket("127.0.0.1", port);
                Socket halfHead = new Socket("127.0.0.1", port);
                Socket halfBody = new Socket("127.0.0.1", port)) {
            idle.setSoTimeout(5_000);
            write(halfHead, "GET /head HTTP/1.1\r\nHost:");
            write(halfBody, "POST /body HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nab");
            TimeUnit.MILLISECONDS.sleep(100);
            server.startDraining();
            server.stopListening();
            assertThat(idle.getInputStream().read()).isEqualTo(-1);
            assertThat(server.isBusy()).isTrue();
            write(halfHead, " x\r\n\r\n");
            write(halfBody, "cd");
            assertThat(readUntil(halfHead, "path=/head"))
                    .startsWith("HTTP/1.1 200")
                    .containsIgnoringCase("connection: close");
            assertThat(readUntil(halfBody, "path=/body")).startsWith("HTTP/1.1 200");
            long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
            while (server.isBusy() && System.nanoTime() < deadlineNanos) {
                Thread.onSpinWait();
            }
            assertThat(server.isBusy()).isFalse();
        }
    }

    @Test
    void aReplyThatClosesTheConnectionIsNotLostToRequestsBehindIt() throws Exception {
        server.startDraining();
        for (int round = 0; round < 20; round++) {
            try (Socket socket = new Socket("127.0.0.1", port)) {
                socket.setSoTimeout(5_000);
                write(socket, "GET /first HTTP/1.1\r\nHost: x\r\n\r\n");
                TimeUnit.MILLISECONDS.sleep(20);
                // The reply has been sent and closes the connection; the caller has not read it and sends on.
                write(socket, "GET /behind HTTP/1.1\r\nHost: x\r\n\r\n");
                TimeUnit.MILLISECONDS.sleep(20);
                assertThat(readUntil(socket, "path=/first"))
                        .startsWith("HTTP/1.1 200")
                        .contains("path=/first");
            }
        }
        assertThat(handledTargets).doesNotContain("/behind");
    }

    @Test
    void aHandlerThatFailsWithAnErrorLeavesNoRequestInFlight() throws Exception {
        assertThat(exchange("GET /error HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"))
                .startsWith("HTTP/1.1 504")
                .contains("Cassiabank-Outcome: unknown", "internal-error");
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
        while (server.requestsInFlight() > 0 && System.nanoTime() < deadlineNanos) {
            Thread.onSpinWait();
        }
        assertThat(server.requestsInFlight()).isZero();
    }

    private CallerReply replyTo(CallerRequest request, CallerPresence presence) {
        handledTargets.add(request.target());
        if (request.path().equals("/error")) {
            throw new OutOfMemoryError("simulated");
        }
        if (request.path().equals("/slow")) {
            try {
                TimeUnit.MILLISECONDS.sleep(300);
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
            }
        }
        return CallerReply.answered(200, Map.of(), ("path=" + request.path()).getBytes(StandardCharsets.UTF_8));
    }

    private String exchange(String request) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(5_000);
            write(socket, request);
            return readUntil(socket, "\0");
        }
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    /** Reads until the text has arrived or the connection has ended. */
    private static String readUntil(Socket socket, String text) {
        StringBuilder received = new StringBuilder();
        try {
            InputStream input = socket.getInputStream();
            int next = input.read();
            while (next >= 0) {
                received.append((char) next);
                next = received.indexOf(text) >= 0 ? -1 : input.read();
            }
        } catch (IOException ignored) {
            // The server closes after a refusal; unread bytes still on the way make that a connection reset.
        }
        return received.toString();
    }
}
