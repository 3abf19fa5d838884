package org.cassiabank.backend;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.cassiabank.health.AttemptOutcome;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against response heads with spoiled bytes that count as valid: they cannot be delivered to a caller unchanged,
 * and the server that sent them must not count as healthy.
 */
class ResponseHeadTest {
    private static final String ID = "Cassiabank-Request-Id: id-1\r\n";
    private static final String LENGTH = "Content-Length: 0\r\n";

    /** Returns methods with the fields that are added to the head of the response. */
    static Stream<Arguments> malformedFields() {
        return Stream.of(
                Arguments.of("GET", "Content-Type: text/\u0001lain\r\n"),
                Arguments.of("POST", "Content-Type: text/\u0001lain\r\n"),
                Arguments.of("HEAD", "Content-Type: text/\u0001lain\r\n"),
                Arguments.of("GET", "Content-Type: text/\u0000lain\r\n"),
                Arguments.of("GET", "Content-Type: text/\u007flain\r\n"),
                Arguments.of("GET", "Content-Type: text/\u000blain\r\n"),
                Arguments.of("GET", "Content-Type: a\rb\r\n"),
                Arguments.of("GET", "Content-Type text/plain\r\n"),
                Arguments.of("GET", "Content Type: text/plain\r\n"),
                Arguments.of("GET", "Content-Type : text/plain\r\n"),
                Arguments.of("GET", ": text/plain\r\n"),
                Arguments.of("GET", "Content\u0001Type: text/plain\r\n"),
                Arguments.of("GET", "Content-Typ\u00e9: text/plain\r\n"),
                Arguments.of("GET", "Content(Type: text/plain\r\n"),
                Arguments.of("GET", "X: a\r\n folded\r\n"),
                Arguments.of("GET", "X: a\r\n\tfolded: b\r\n"),
                Arguments.of("GET", "X: caf\u00e9\r\n"),
                Arguments.of("GET", "Transfer-Encoding: chunkfd\r\n"),
                Arguments.of("GET", "Transfer-Encoding: gzip, chunked\r\n"),
                Arguments.of("GET", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n"),
                Arguments.of("HEAD", "Content-Length: +5\r\n"),
                Arguments.of("HEAD", "Content-Length: 5\r\nContent-Length: 6\r\n"),
                Arguments.of("HEAD", "Content-Length: 99999999999999999999\r\n"));
    }

    @ParameterizedTest
    @MethodSource("malformedFields")
    void aFieldThatCannotBePassedOnMakesTheResponseInvalid(String method, String fields) throws IOException {
        BackendResult result = send(method, "HTTP/1.1 200 OK\r\n" + ID + fields + LENGTH + "\r\n");
        assertIsMalformed(result);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 -10 OK",
                "HTTP/1.1 +20 OK",
                "HTTP/1.1 101 Switching",
                "HTTP/1.1 199 A",
                "HTTP/1.1 600 A"
            })
    void aStatusThatIsNoFinalStatusMakesTheResponseInvalidForEachMethod(String statusLine) throws IOException {
        assertThat(send("HEAD", statusLine + "\r\n" + ID + LENGTH + "\r\n")).isInstanceOf(NoValidResponse.class);
        assertThat(send("GET", statusLine + "\r\n" + ID + LENGTH + "\r\n")).isInstanceOf(NoValidResponse.class);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "X-Empty:\r\n",
                "X-Tab: a\tb\r\n",
                "X-Visible: !#$%&'*+-.^_`|~ \"(),/:;<=>?@[\\]{}\r\n",
                "X!#$%&'*+-.^_`|~1: a\r\n",
                "X-Two: a\r\nX-Two: b\r\n",
                "Set-Cookie: a=b\r\nSet-Cookie: a=b\r\n",
                "Vary: Accept\r\nVary: Origin\r\n",
                "Via: HTTP/1.1 name\r\n",
                "Via: HTTP/1.1 name\r\nVia: HTTP/1.1 name\r\n",
                "Via: HTTP/1.1 192.168.0.1\r\n",
                "Via: HTTP/1.0 200proxies.example:8080\r\n"
            })
    void aHeadOfPermittedCharactersIsDelivered(String fields) throws IOException {
        assertThat(send("GET", "HTTP/1.1 200 OK\r\n" + ID + fields + LENGTH + "\r\n"))
                .isInstanceOf(ResponseReceived.class);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200",
                "HTTP/1.1 200 ",
                "HTTP/1.1 200 HTTP/1.1",
                "HTTP/1.1 200 500: no HTTP/1.1, \u00e9",
                "HTTP/1.0 404 HTTP/1.1 404: not found"
            })
    void aReasonPhraseOfAnyTextIsDelivered(String statusLine) throws IOException {
        assertThat(send("GET", statusLine + "\r\n" + ID + LENGTH + "\r\n")).isInstanceOf(ResponseReceived.class);
    }

    @Test
    void aValueInUtf8IsDelivered() throws IOException {
        String bytes = new String("Gr\u00fc\u00dfe".getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
        BackendResult result = send("GET", "HTTP/1.1 200 OK\r\n" + ID + "X-Name: " + bytes + "\r\n" + LENGTH + "\r\n");
        assertThat(((ResponseReceived) result).headers().get("X-Name")).containsExactly("Gr\u00fc\u00dfe");
    }

    /** The bytes that arrive are a whole body, so that only the field itself tells that something is wrong. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: +5",
                "Content-Length: 5\u000b",
                "Content-Length:\u001c5",
                "Content-Length: 5\u00c2\u00a0",
                "Content-Length: \u00d9\u00a5",
                "Content-Length: 0x5",
                "Content-Length: 5,5",
                "Content-Length: 5.0",
                "Content-Length: -5",
                "Content-Length:",
                "Content-Length: 5\r\nContent-Length: 5",
                "Content-Length : 5",
                "Content\u0000Length: 5",
                "Content-Length 5",
                "Content-Length: 5\r\nTransfer-Encoding: chunked",
                "Content-Length: 5\r\nX-Tail: a\u001f",
                "Content-Length: 5\r\nX-Tail: \u000ba",
                "Content-Length: 5\r\nX-Tail: a\r"
            })
    void aBodyWhoseFramingCannotBeReadIsNotDelivered(String fields) throws IOException {
        String rest = ID + fields + "\r\n\r\nwhole";
        for (String status : List.of("200 OK", "500 Failure")) {
            for (String method : List.of("GET", "POST")) {
                assertIsMalformed(send(method, "HTTP/1.1 " + status + "\r\n" + rest));
            }
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 000 OK",
                "HTTP/1.1 000",
                "HTTP/1.1 099 A",
                "HTTP/1.1 2 OK",
                "HTTP/1.1 2000 OK",
                "HTTP/1.1 \u00d9\u00a2\u00d9\u00a0\u00d9\u00a0 OK",
                "HTTP/1.7 200 OK",
                "HTTP/2.0 200 OK",
                "ICY 200 OK",
                "HTTP/1.1\t200 OK",
                "HTTP/1.1  200 OK",
                "HTTP/1.1 200\tOK",
                "HTTP/1.1 200 O\u0001K",
                "HTTP/1.1 200 O\rK",
                "HTTP/1.1 200 OK\u007f",
                "\r\nHTTP/1.1 200 OK"
            })
    void aStatusLineThatCannotBeReadMakesTheResponseInvalid(String statusLine) throws IOException {
        for (String method : List.of("GET", "POST", "HEAD")) {
            assertIsMalformed(send(method, statusLine + "\r\n" + ID + LENGTH + "\r\n"));
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 100 Con\u0001tinue\r\n",
                "HTTP/1.1 100 Continue\r\nno field\r\n",
                "HTTP/1.1 103 Early Hints\r\nX Y: a\r\n",
                "HTTP/1.1 103 Early Hints\r\nX: a\u0001b\r\n",
                "HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n",
                "HTTP/1.1 100 Continue\r\nTransfer-Encoding: chunked\r\n"
            })
    void anInterimHeadThatCannotBeReadMakesTheResponseInvalid(String interimHead) throws IOException {
        assertIsMalformed(send("GET", interimHead + "\r\nHTTP/1.1 200 OK\r\n" + ID + LENGTH + "\r\n"));
    }

    @Test
    void aChunkedResponseOfAProtocolWithoutChunksIsInvalid() throws IOException {
        assertIsMalformed(
                send("GET", "HTTP/1.0 200 OK\r\n" + ID + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"));
    }

    /** The line is longer than what is kept of it while it is examined. */
    @Test
    void aLongFieldIsDelivered() throws IOException {
        String value = "a b\t".repeat(10_000) + "c";
        BackendResult result = send("GET", "HTTP/1.1 200 OK\r\n" + ID + "X-Long: " + value + "\r\n" + LENGTH + "\r\n");
        assertThat(result).isInstanceOf(ResponseReceived.class);
        assertThat(((ResponseReceived) result).headers().get("X-Long")).containsExactly(value);
    }

    @ParameterizedTest
    @ValueSource(strings = {"\u0001", "\u007f", "\r"})
    void aLongFieldWithASpoiledByteAtItsEndMakesTheResponseInvalid(String spoiledByte) throws IOException {
        for (int length : new int[] {8_180, 8_185, 8_190, 20_000}) {
            String field = "X-Long: " + "a".repeat(length) + spoiledByte;
            assertIsMalformed(send("GET", "HTTP/1.1 200 OK\r\n" + ID + field + "\r\n" + LENGTH + "\r\n"));
        }
    }

    private static void assertIsMalformed(BackendResult result) {
        assertThat(result).isInstanceOf(NoValidResponse.class);
        NoValidResponse noValidResponse = (NoValidResponse) result;
        assertThat(noValidResponse.reason()).isEqualTo(NoValidResponseReason.MALFORMED_HEAD);
        assertThat(noValidResponse.outcome()).isEqualTo(AttemptOutcome.SPOILED);
        assertThat(noValidResponse.attemptResult().provesNotRun()).isFalse();
    }

    private static BackendResult send(String method, String response) throws IOException {
        try (BackendClient client = BackendClient.create(new BackendClientSettings(300, 1_000, 2, 1_000, 0));
                ScriptedServer server =
                        new ScriptedServer((request, socket) -> ScriptedServer.write(socket, response))) {
            return client.send(BackendRequest.forAddress(
                    server.address(), method, "/", Map.of(), new byte[0], "id-1", true, 1_000));
        }
    }
}
