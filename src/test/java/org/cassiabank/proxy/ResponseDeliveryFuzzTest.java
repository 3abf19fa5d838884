package org.cassiabank.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.BeforeContainer;
import org.cassiabank.backend.BackendClient;
import org.cassiabank.backend.BackendClientSettings;
import org.cassiabank.backend.BackendRequest;
import org.cassiabank.backend.BackendResult;
import org.cassiabank.backend.ResponseReceived;

/**
 * Guards against response heads that are accepted from a server and cannot be delivered to a caller, or are delivered
 * changed. A valid head has one byte replaced or added at any place; the response goes the whole way from the server's
 * connection to the caller's.
 */
class ResponseDeliveryFuzzTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\nCassiabank-Request-Id: id-1\r\nContent-Type: text/plain\r\n"
            + "X-Seal: 3e1b.07.5a2.600\r\nContent-Length: 4\r\n\r\n";
    private static final String BODY = "whole";
    private static final Set<String> STATUSES_WITHOUT_BODY = Set.of("204", "304");
    private static final int HANDLER_TIMEOUT_MILLIS = 500;

    private static volatile byte[] scriptedResponse;
    private static ServerSocket backend;
    private static BackendClient client;
    private static CallerServer server;
    private static int port;

    @BeforeContainer
    static void start() throws IOException {
        backend = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Thread.startVirtualThread(ResponseDeliveryFuzzTest::serveBackend);
        client = BackendClient.create(new BackendClientSettings(300, 1_000, 2, 1_000, 0));
        server = CallerServer.create(
                new CallerLimits(10, 10, 8_192, 100, 5_000, 20_000, 5_000),
                ResponseDeliveryFuzzTest::forward,
                ProxyMetrics.create());
        try (ServerSocket socket = new ServerSocket(0)) {
            port = socket.getLocalPort();
        }
        server.start(new HostAndPort("127.0.0.1", port), Optional.empty());
    }

    @AfterContainer
    static void stop() throws IOException {
        server.close();
        client.close();
        backend.close();
    }

    @Provide
    Arbitrary<byte[]> spoiledHeads() {
        Arbitrary<Integer> positions = Arbitraries.integers().between(0, HEAD.length() - 1);
        Arbitrary<Integer> bytes = Arbitraries.oneOf(
                Arbitraries.integers().between(0, 0x20),
                Arbitraries.integers().between(0, 0xff),
                Arbitraries.of((int) ':', (int) ' ', (int) '\t', (int) '\n', 0x7f, 0xff));
        return Combinators.combine(positions, bytes, Arbitraries.of(true, false))
                .as((position, value, replaces) -> {
                    StringBuilder head = new StringBuilder(HEAD);
                    head.insert(position, Character.toString(value));
                    if (replaces) {
                        head.deleteCharAt(position + 1);
                    }
                    return (head + BODY.substring(0, 4)).getBytes(StandardCharsets.ISO_8859_1);
                });
    }

    @Property(tries = 1_000, shrinking = ShrinkingMode.OFF)
    void aSpoiledHeadEndsInExactlyOneReplyWithTheBytesOfTheServerOrWithoutThem(@ForAll("spoiledHeads") byte[] response)
            throws IOException {
        assertOneReplyWithTheBytesOfTheServerOrWithoutThem(response);
    }

    /** Spoiled bytes that make another valid head: a digit of the status or the length, a line end, white space. */
    @Example
    void anotherValidHeadReachesTheCallerWithItsStatusAndBody() throws IOException {
        for (String head : List.of(
                HEAD.replace("200", "500"),
                HEAD.replace("200", "204"),
                HEAD.replace("OK\r", "OK\u0085"),
                HEAD.replace("Length: 4", "Length: 2"),
                HEAD.replace("Length: 4", "Length: 4\n"),
                HEAD.replace("Type: ", "Type:\r "))) {
            assertOneReplyWithTheBytesOfTheServerOrWithoutThem(
                    (head + BODY.substring(0, 4)).getBytes(StandardCharsets.ISO_8859_1));
        }
    }

    private static void assertOneReplyWithTheBytesOfTheServerOrWithoutThem(byte[] response) throws IOException {
        scriptedResponse = response;
        String sent = new String(response, StandardCharsets.ISO_8859_1);
        String received = requestOnce();
        Matcher sentStatus = Pattern.compile("(?s)HTTP/1\\.[01] (\\d{3})( .*)?")
                .matcher(sent.lines().findFirst().orElse(""));
        String status = sentStatus.matches() ? sentStatus.group(1) : "504";
        assertThat(received).matches("(?s)HTTP/1\\.1 (" + status + "|504) .*");
        assertThat(received.split("HTTP/1\\.1 \\d\\d\\d", -1)).hasSize(2);
        if (received.startsWith("HTTP/1.1 " + status) && !received.contains("Cassiabank-Outcome: unknown")) {
            assertThat(received).contains("Cassiabank-Outcome: answered");
            if (!STATUSES_WITHOUT_BODY.contains(status)) {
                assertBodyIsThatOfTheServer(sent, received);
            }
            assertFieldsAreThoseOfTheServer(sent, received);
        }
        assertThat(server.requestsInFlight()).isLessThanOrEqualTo(1);
    }

    /** Checks the bytes behind the first empty line, which ends a head also without carriage returns. */
    private static void assertBodyIsThatOfTheServer(String sent, String received) {
        Matcher headEnd = Pattern.compile("\\r?\\n\\r?\\n").matcher(sent);
        assertThat(headEnd.find()).isTrue();
        Matcher declaredLength =
                Pattern.compile("(?im)^content-length:\\s*(\\d+)\\s*$").matcher(sent.substring(0, headEnd.end()));
        int length = declaredLength.find() ? Integer.parseInt(declaredLength.group(1)) : BODY.length() - 1;
        String receivedBody = received.substring(received.indexOf("\r\n\r\n") + 4);
        assertThat(receivedBody)
                .as("body of response [%s]", sent)
                .isEqualTo(sent.substring(headEnd.end(), headEnd.end() + length));
    }

    /** Checks that no value reaches the caller that the server has not sent under that name. */
    private static void assertFieldsAreThoseOfTheServer(String sent, String received) {
        received.lines().skip(1).takeWhile(line -> !line.isEmpty()).forEach(line -> {
            String name = line.substring(0, line.indexOf(':'));
            boolean own = Set.of("cassiabank-outcome", "content-length", "connection")
                    .contains(name.toLowerCase(Locale.ROOT));
            assertThat(own || Arrays.stream(sent.split("\\r?\\n")).anyMatch(sentLine -> isSameField(sentLine, line)))
                    .as("field [%s] of response [%s]", line, sent)
                    .isTrue();
        });
    }

    /** Compares fields without the white space around their values, which is not a part of them. */
    private static boolean isSameField(String sentLine, String receivedLine) {
        int colon = sentLine.indexOf(':');
        return colon > 0
                && receivedLine.equalsIgnoreCase(sentLine.substring(0, colon) + ": "
                        + sentLine.substring(colon + 1).strip());
    }

    private static CallerReply forward(CallerRequest request, CallerPresence presence) {
        BackendResult result = client.send(BackendRequest.forAddress(
                "127.0.0.1:" + backend.getLocalPort(),
                "GET",
                "/",
                Map.of(),
                new byte[0],
                "id-1",
                true,
                HANDLER_TIMEOUT_MILLIS));
        return result instanceof ResponseReceived response
                ? CallerReply.answered(response.status(), response.headers(), response.body())
                : CallerReply.unknown(result.attemptResult().label());
    }

    private static String requestOnce() throws IOException {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(3 * HANDLER_TIMEOUT_MILLIS);
            socket.getOutputStream()
                    .write("GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
                            .getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        }
    }

    private static void serveBackend() {
        try {
            while (true) {
                try (Socket socket = backend.accept()) {
                    InputStream input = socket.getInputStream();
                    OutputStream output = socket.getOutputStream();
                    int matched = 0;
                    while (matched < 4) {
                        int next = input.read();
                        matched = next == "\r\n\r\n".charAt(matched) ? matched + 1 : next == '\r' ? 1 : 0;
                    }
                    output.write(scriptedResponse);
                    output.flush();
                }
            }
        } catch (IOException expected) {
            // The listener was closed.
        }
    }
}
