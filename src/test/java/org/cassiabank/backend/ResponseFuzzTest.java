package org.cassiabank.backend;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;

/**
 * Guards against bytes of a backend server that end an attempt with an exception, take longer than its time, or are
 * delivered as a response although they are incomplete or belong to another request. The bytes are fragments of valid
 * responses in any order, followed by the end of the connection or by silence.
 */
class ResponseFuzzTest {
    private static final long TIMEOUT_MILLIS = 300;
    private static final String BODY = "whole answer";
    private static final Pattern CONTENT_LENGTH = Pattern.compile("Content-Length: (\\d+)");

    @Provide
    Arbitrary<List<String>> fragments() {
        return Arbitraries.of(
                        "HTTP/1.1 200 OK\r\n",
                        "HTTP/1.1 500 Error\r\n",
                        "HTTP/1.1 100 Continue\r\n\r\n",
                        "HTTP/1.1 204 No Content\r\n",
                        "Cassiabank-Request-Id: id-1\r\n",
                        "Cassiabank-Request-Id: other\r\n",
                        "Content-Length: 12\r\n",
                        "Content-Length: 99\r\n",
                        "Content-Length: -1\r\n",
                        "Transfer-Encoding: chunked\r\n",
                        "Content-Encoding: gzip\r\n",
                        "Connection: close\r\n",
                        "\r\n",
                        BODY,
                        "c\r\n" + BODY + "\r\n",
                        "0\r\n\r\n",
                        "ffffffffff\r\n",
                        "5;x=y\r\n",
                        "\u0000\u00ff\u0080",
                        " : \r\n",
                        "a".repeat(9_000))
                .list()
                .ofMinSize(1)
                .ofMaxSize(8);
    }

    @Provide
    Arbitrary<List<String>> mostlyValidFragments() {
        Arbitrary<List<String>> head = Arbitraries.just(List.of(
                "HTTP/1.1 200 OK\r\n", "Cassiabank-Request-Id: id-1\r\n", "Content-Length: 12\r\n", "\r\n", BODY));
        return Combinators.combine(head, Arbitraries.integers().between(0, 4), fragments())
                .as((valid, position, noise) -> {
                    List<String> mixed = new ArrayList<>(valid);
                    mixed.set(position, noise.getFirst());
                    return mixed;
                });
    }

    @Property(tries = 300, shrinking = ShrinkingMode.OFF)
    void anyBytesEndTheAttemptInTimeAndOnlyTheWholeAnswerIsDelivered(
            @ForAll("fragments") List<String> fragments, @ForAll boolean closes) throws IOException {
        assertAttemptEndsWell(fragments, closes);
    }

    @Property(tries = 200, shrinking = ShrinkingMode.OFF)
    void aResponseWithOneReplacedPartIsDeliveredOnlyIfItIsWhole(
            @ForAll("mostlyValidFragments") List<String> fragments, @ForAll boolean closes) throws IOException {
        assertAttemptEndsWell(fragments, closes);
    }

    private static void assertAttemptEndsWell(List<String> fragments, boolean closes) throws IOException {
        String bytes = String.join("", fragments);
        try (BackendClient client = BackendClient.create(new BackendClientSettings(300, 1_000, 2, 1_000, 0));
                ScriptedServer server = new ScriptedServer((request, socket) -> {
                    ScriptedServer.write(socket, bytes);
                    if (closes) {
                        socket.shutdownOutput();
                    }
                    TimeUnit.MILLISECONDS.sleep(2 * TIMEOUT_MILLIS);
                })) {
            long startNanos = System.nanoTime();
            BackendResult result = client.send(BackendRequest.forAddress(
                    server.address(), "GET", "/", Map.of(), new byte[0], "id-1", true, TIMEOUT_MILLIS));
            assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos))
                    .isLessThan(10 * TIMEOUT_MILLIS);
            if (result instanceof ResponseReceived response) {
                assertIsWhole(bytes, response);
            } else {
                assertThat(result).isInstanceOf(NoValidResponse.class);
            }
        }
    }

    /** Checks a delivered response against the head that the server sent last. */
    private static void assertIsWhole(String bytes, ResponseReceived response) {
        String head = finalHead(bytes);
        assertThat(head).contains("Cassiabank-Request-Id: id-1").doesNotContain("Cassiabank-Request-Id: other");
        if (head.contains("Transfer-Encoding: chunked")) {
            assertThat(bytes).contains("0\r\n\r\n");
        } else if (response.status() != 204) {
            Matcher declaredLength = CONTENT_LENGTH.matcher(head);
            assertThat(declaredLength.find()).as(bytes).isTrue();
            assertThat(response.body()).hasSize(Integer.parseInt(declaredLength.group(1)));
            assertThat(bytes).contains(new String(response.body(), StandardCharsets.ISO_8859_1));
        }
    }

    /** Returns the first head that is not an interim response. */
    private static String finalHead(String bytes) {
        String rest = bytes;
        while (rest.startsWith("HTTP/1.1 100 ")) {
            rest = rest.substring(rest.indexOf("\r\n\r\n") + 4);
        }
        return rest.substring(0, Math.max(0, rest.indexOf("\r\n\r\n")));
    }
}
