package org.cassiabank.proxy;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.cassiabank.declaration.ConnectionLimits;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests whose length a load balancer and this proxy read differently, so that a part of one request
 * runs as another, and against callers that exceed a limit: large headers or bodies, slow headers, idle connections,
 * too many requests or connections. Sends raw bytes to the port for callers.
 */
class CallerServerTest {
    private static final CallerLimits LIMITS = new CallerLimits(3, 2, 1_024, 100, 1_000, 400, 300);

    private static final int LARGE_RESPONSE_BYTES = 32 * 1_024 * 1_024;

    private final CountDownLatch callerGone = new CountDownLatch(1);
    private final CountDownLatch heldRequestsReleased = new CountDownLatch(1);
    private final List<String> handledPaths = new CopyOnWriteArrayList<>();
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
        heldRequestsReleased.countDown();
        server.close();
    }

    @Test
    void requestsWithAnAmbiguousLengthAreRefusedAndTheConnectionIsClosed() throws IOException {
        for (String headers : List.of(
                "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
                "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n",
                "Content-Length: 4\r\nContent-Length: 5\r\n",
                "Content-Length: +4\r\n",
                "Content-Length: 4, 5\r\n",
                "Content-Length : 4\r\n")) {
            String response = sendAndReadUntilClosed(
                    "POST /a HTTP/1.1\r\nHost: x\r\n" + headers + "\r\n0\r\n\r\nGET /b HTTP/1.1\r\n\r\n");
            assertThat(response).as(headers).startsWith("HTTP/1.1 400").contains("Cassiabank-Outcome: not-run");
            assertThat(response).as(headers).doesNotContain("path=/b");
        }
    }

    @Test
    void requestsOverASizeLimitAreRefusedWithTheStatusOfThatLimit() throws IOException {
        assertThat(sendAndReadUntilClosed("GET / HTTP/1.1\r\nHost: x\r\nA: " + "a".repeat(2_000) + "\r\n\r\n"))
                .startsWith("HTTP/1.1 431")
                .contains("headers-too-large");
        assertThat(sendAndReadUntilClosed(
                        "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 101\r\n\r\n" + "a".repeat(101)))
                .startsWith("HTTP/1.1 413")
                .contains("body-too-large");
        assertThat(sendAndReadUntilClosed("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n" + "40\r\n"
                        + "a".repeat(64) + "\r\n40\r\n" + "a".repeat(64) + "\r\n0\r\n\r\n"))
                .startsWith("HTTP/1.1 413");
    }

    @Test
    void formBodiesAreForwardedUnchanged() throws IOException {
        assertThat(sendAndReadUntilClosed(
                        "POST /form HTTP/1.1\r\nHost: x\r\nContent-Type: application/x-www-form-urlencoded\r\n"
                                + "Content-Length: 7\r\nConnection: close\r\n\r\na=1&b=2"))
                .endsWith("path=/form body=a=1&b=2");
    }

    @Test
    void pipelinedRequestsAreAnsweredInOrder() throws IOException {
        String response = sendAndReadUntilClosed("GET /1 HTTP/1.1\r\nHost: x\r\n\r\nGET /2 HTTP/1.1\r\nHost: x\r\n\r\n"
                + "GET /3 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        assertThat(response).containsSubsequence("path=/1", "path=/2", "path=/3");
    }

    @Test
    void anIdleConnectionIsClosed() throws IOException {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(5_000);
            assertThat(socket.getInputStream().read()).isEqualTo(-1);
        }
    }

    @Test
    void headersThatArriveTooSlowlyAreRefused() throws Exception {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(5_000);
            for (char character : "GET /slow HTTP/1.1\r\nHost: x".toCharArray()) {
                if (socket.getInputStream().available() > 0) {
                    break;
                }
                socket.getOutputStream().write(character);
                Thread.sleep(50);
            }
            byte[] response = socket.getInputStream().readNBytes(12);
            assertThat(new String(response, StandardCharsets.US_ASCII)).isEqualTo("HTTP/1.1 408");
        }
    }

    @Test
    void aSlowBodyDoesNotCountAsSlowHeaders() throws Exception {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(5_000);
            socket.getOutputStream()
                    .write("POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 12\r\n\r\n"
                            .getBytes(StandardCharsets.US_ASCII));
            for (int bytesSent = 0; bytesSent < 12; bytesSent++) {
                Thread.sleep(50);
                socket.getOutputStream().write('a');
            }
            byte[] response = socket.getInputStream().readNBytes(12);
            assertThat(new String(response, StandardCharsets.US_ASCII)).isEqualTo("HTTP/1.1 200");
        }
    }

    @Test
    void aRaisedIdleLimitAppliesToOpenConnections() throws Exception {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(900);
            server.applyDeclaredLimits(Optional.of(new ConnectionLimits(1_024, 100, 400, 2_000)));
            assertThatThrownBy(() -> socket.getInputStream().read()).isInstanceOf(SocketTimeoutException.class);
            socket.setSoTimeout(5_000);
            assertThat(socket.getInputStream().read()).isEqualTo(-1);
        }
    }

    @Test
    void declaredSizesApplyOnlyUpToTheSizesInTheSettings() throws IOException {
        server.applyDeclaredLimits(Optional.of(new ConnectionLimits(512, 1_000, 400, 300)));
        assertThat(sendAndReadUntilClosed("GET / HTTP/1.1\r\nHost: x\r\nA: " + "a".repeat(600) + "\r\n\r\n"))
                .startsWith("HTTP/1.1 431");
        assertThat(sendAndReadUntilClosed(
                        "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 101\r\n\r\n" + "a".repeat(101)))
                .startsWith("HTTP/1.1 413");
    }

    @Test
    void aHandlerIsNotifiedWhenItsCallerDisconnects() throws Exception {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.getOutputStream().write("GET /hold HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            while (server.requestsInFlight() == 0) {
                Thread.onSpinWait();
            }
        }
        assertThat(callerGone.await(5, TimeUnit.SECONDS)).isTrue();
    }

    @Test
    void aRequestStaysInFlightUntilASlowCallerHasReadTheWholeResponse() throws Exception {
        try (Socket socket = openWithRequestFor("/large")) {
            InputStream input = socket.getInputStream();
            int bytesRead = input.readNBytes(1_000).length;
            // The response is larger than all socket buffers, so a stop at this moment would truncate it.
            assertThat(server.requestsInFlight()).isEqualTo(1);
            byte[] buffer = new byte[65_536];
            while (bytesRead < LARGE_RESPONSE_BYTES) {
                bytesRead += input.read(buffer);
            }
            long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
            while (server.requestsInFlight() > 0 && System.nanoTime() < deadlineNanos) {
                Thread.onSpinWait();
            }
            assertThat(server.requestsInFlight()).isZero();
        }
    }

    /** Its caller may send it again on another connection, where it would run a second time. */
    @Test
    void aRequestThatArrivesAfterAReplyThatClosesTheConnectionDoesNotRun() throws Exception {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.getOutputStream()
                    .write("GET /large HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
                            .getBytes(StandardCharsets.US_ASCII));
            assertThat(socket.getInputStream().readNBytes(1_000)).hasSize(1_000);
            socket.getOutputStream().write("GET /late HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            TimeUnit.MILLISECONDS.sleep(300);
            assertThat(handledPaths).containsExactly("/large");
        }
    }

    @Test
    void requestsOverTheInFlightLimitAreRefusedAtOnceWithARetryTime() throws IOException {
        try (Socket first = openWithRequestFor("/hold");
                Socket second = openWithRequestFor("/hold")) {
            while (server.requestsInFlight() < 2) {
                Thread.onSpinWait();
            }
            assertThat(sendAndReadUntilClosed("GET /third HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"))
                    .startsWith("HTTP/1.1 503")
                    .contains("entry-overloaded")
                    .contains("Retry-After: 1");
            assertThat(first.isConnected() && second.isConnected()).isTrue();
        }
        assertThat(metrics.toText()).contains("cassiabank_refusals_total{reason=\"entry-overloaded\"} 1.0");
    }

    @Test
    void aConnectionOverTheLimitIsClosedAndCounted() throws IOException {
        try (Socket first = openWithRequestFor("/hold");
                Socket second = openWithRequestFor("/hold");
                Socket third = new Socket("127.0.0.1", port);
                Socket fourth = new Socket("127.0.0.1", port)) {
            fourth.setSoTimeout(5_000);
            assertThat(fourth.getInputStream().read()).isEqualTo(-1);
            assertThat(first.isConnected() && second.isConnected() && third.isConnected())
                    .isTrue();
        }
        assertThat(metrics.toText()).contains("reason=\"too-many-connections\"");
    }

    private CallerReply replyTo(CallerRequest request, CallerPresence presence) {
        handledPaths.add(request.path());
        if (request.path().equals("/hold")) {
            presence.onGone(callerGone::countDown);
            try {
                heldRequestsReleased.await(10, TimeUnit.SECONDS);
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
            }
        }
        if (request.path().equals("/large")) {
            return CallerReply.answered(200, Map.of(), new byte[LARGE_RESPONSE_BYTES]);
        }
        String body = "path=" + request.path() + " body=" + new String(request.body(), StandardCharsets.UTF_8);
        return CallerReply.answered(200, Map.of(), body.getBytes(StandardCharsets.UTF_8));
    }

    private Socket openWithRequestFor(String path) throws IOException {
        Socket socket = new Socket("127.0.0.1", port);
        socket.getOutputStream()
                .write(("GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
        return socket;
    }

    private String sendAndReadUntilClosed(String request) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(5_000);
            OutputStream output = socket.getOutputStream();
            output.write(request.getBytes(StandardCharsets.US_ASCII));
            output.flush();
            InputStream input = socket.getInputStream();
            StringBuilder response = new StringBuilder();
            byte[] buffer = new byte[4_096];
            try {
                int bytesRead = input.read(buffer);
                while (bytesRead >= 0) {
                    response.append(new String(buffer, 0, bytesRead, StandardCharsets.UTF_8));
                    bytesRead = input.read(buffer);
                }
            } catch (IOException ignored) {
                // The server closes after a refusal; unread bytes still on the way make that a connection reset.
            }
            return response.toString();
        }
    }
}
