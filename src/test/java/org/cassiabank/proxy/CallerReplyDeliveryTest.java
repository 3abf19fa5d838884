package org.cassiabank.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against requests that were read and get neither a reply nor the end of their connection, and that stay in
 * flight for the life of the process: a reply that cannot be written, or a handler that never returns.
 */
class CallerReplyDeliveryTest {
    private static final CallerLimits LIMITS = new CallerLimits(10, 10, 1_024, 100, 5_000, 20_000, 2_000);
    private static final long DEADLINE_MILLIS = 300;
    /** The time after its deadline within which a request has its final answer, as the platform requires it. */
    private static final long LONGEST_OVERRUN_MILLIS = 500;

    private final CountDownLatch stuckHandlersReleased = new CountDownLatch(1);
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
        stuckHandlersReleased.countDown();
        server.close();
    }

    @ParameterizedTest
    @CsvSource({"/control-byte", "/field-without-name", "/line-break", "/status", "/null-body", "/null-reply"})
    void aReplyThatCannotBeWrittenIsReplacedByOneOfUnknownOutcome(String target) throws Exception {
        String responses = exchange(requestFor(target) + requestFor("/next") + lastRequest());
        assertThat(responses)
                .containsSubsequence(
                        "HTTP/1.1 504",
                        "Cassiabank-Outcome: unknown",
                        "HTTP/1.1 200",
                        "path=/next",
                        "HTTP/1.1 200",
                        "path=/last");
        assertThat(responses.split("HTTP/1.1 ", -1)).hasSize(4);
        assertNothingInFlight();
        assertThat(metrics.toText()).contains("cassiabank_unknown_outcomes_total{reason=\"internal-error\"} 1.0");
    }

    @Test
    void aRequestWhoseHandlerNeverReturnsIsAnsweredSoonAfterItsDeadline() throws Exception {
        long startNanos = System.nanoTime();
        String responses = exchange(requestFor("/stuck") + lastRequest());
        long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        assertThat(responses)
                .containsSubsequence("HTTP/1.1 504", "Cassiabank-Outcome: unknown", "overdue", "HTTP/1.1 200", "/last");
        assertThat(elapsedMillis).isBetween(DEADLINE_MILLIS, DEADLINE_MILLIS + LONGEST_OVERRUN_MILLIS);
        assertNothingInFlight();
        assertThat(metrics.toText()).contains("cassiabank_unknown_outcomes_total{reason=\"overdue\"} 1.0");
    }

    @Test
    void aReplyThatComesAfterTheRequestWasGivenUpIsNotSent() throws Exception {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(5_000);
            write(socket, requestFor("/stuck"));
            assertThat(readUntil(socket, "outcome unknown: overdue\n")).startsWith("HTTP/1.1 504");
            stuckHandlersReleased.countDown();
            write(socket, lastRequest());
            String rest = readUntil(socket, "\0");
            assertThat(rest).startsWith("HTTP/1.1 200").contains("path=/last").doesNotContain("path=/stuck");
        }
        assertNothingInFlight();
    }

    @Test
    void valuesBeyondAsciiReachTheCallerAsTheBytesThatTheServerSent() throws IOException {
        assertThat(exchange(requestFor("/beyond-ascii") + lastRequest()))
                .contains("X-Name: "
                        + new String(
                                "Gr\u00fc\u00dfe \u4e16".getBytes(StandardCharsets.UTF_8),
                                StandardCharsets.ISO_8859_1));
    }

    private CallerReply replyTo(CallerRequest request, CallerPresence presence) {
        byte[] body = ("path=" + request.path()).getBytes(StandardCharsets.UTF_8);
        return switch (request.path()) {
            case "/control-byte" -> CallerReply.answered(200, Map.of("Content-Type", List.of("text/\u0001lain")), body);
            case "/field-without-name" ->
                CallerReply.answered(200, Map.of("", List.of("a line without a colon")), body);
            case "/line-break" -> CallerReply.answered(200, Map.of("A", List.of("a\r\nInjected: b")), body);
            case "/status" -> CallerReply.answered(-10, Map.of(), body);
            case "/null-body" -> CallerReply.answered(200, Map.of(), (byte[]) null);
            case "/null-reply" -> null;
            case "/beyond-ascii" ->
                CallerReply.answered(200, Map.of("X-Name", List.of("Gr\u00fc\u00dfe \u4e16")), body);
            case "/stuck" -> {
                presence.awaitReplyFor(DEADLINE_MILLIS);
                awaitRelease();
                yield CallerReply.answered(200, Map.of(), body);
            }
            default -> CallerReply.answered(200, Map.of(), body);
        };
    }

    private void awaitRelease() {
        try {
            stuckHandlersReleased.await(20, TimeUnit.SECONDS);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    private void assertNothingInFlight() {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
        while (server.requestsInFlight() > 0 && System.nanoTime() < deadlineNanos) {
            Thread.onSpinWait();
        }
        assertThat(server.requestsInFlight()).isZero();
    }

    private static String requestFor(String target) {
        return "GET " + target + " HTTP/1.1\r\nHost: x\r\n\r\n";
    }

    private static String lastRequest() {
        return "GET /last HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    }

    private String exchange(String requests) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(5_000);
            write(socket, requests);
            return readUntil(socket, "\0");
        }
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    /** Reads until the text has arrived or the connection has ended. */
    private static String readUntil(Socket socket, String text) throws IOException {
        StringBuilder received = new StringBuilder();
        InputStream input = socket.getInputStream();
        int next = input.read();
        while (next >= 0) {
            received.append((char) next);
            next = received.indexOf(text) >= 0 ? -1 : input.read();
        }
        return received.toString();
    }
}
