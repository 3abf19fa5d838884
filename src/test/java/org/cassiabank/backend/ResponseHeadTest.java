package org.cassiabank.backend;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
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
