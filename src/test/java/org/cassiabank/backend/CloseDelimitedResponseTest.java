package org.cassiabank.backend;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against the delivery of a part of a body, or of its framing, because the head lost what marks the end of the
 * body and the server closed the connection in order. Also guards against the refusal of a body that its server ends
 * with the connection.
 */
class CloseDelimitedResponseTest {
    private static final String BODY = "a part of the body";

    /** In the place of the framing, or instead of it. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "Content-Type: text/plain\r\n",
                "Content-Lengtx: 3000\r\n",
                "Content-Lengtx: 3000\r\nKeep-Alive: timeout=5\r\n",
                "Transfer-Encodinq: chunked\r\n",
                "Connection: keep-alive\r\n",
                "Connection: close, keep-alive\r\n",
                "Connection: close\r\nKeep-Alive: timeout=5\r\n",
                "Connection: closed\r\n",
                "Connection: close\r\nX-Before: a..Content-Length: 3000\r\n",
                "Connection: close\r\nX-Before: a..transfer-encoding:chunked\r\n",
                "X-Before: aContent-Length: 3000\r\nConnection: close\r\n"
            })
    void aBodyWhoseEndIsNotAnnouncedIsNotDelivered(String fields) throws IOException {
        for (String statusLine : List.of("HTTP/1.1 200 OK", "HTTP/1.1 500 Failure")) {
            assertIsRefused(statusLine, fields, BODY);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 200 OKContent-Length: 3000", "HTTP/1.0 200 OK Transfer-Encoding: chunked"})
    void aBodyIsNotDeliveredIfTheReasonPhraseNamesItsFraming(String statusLine) throws IOException {
        assertIsRefused(statusLine, "Connection: close\r\n", BODY);
    }

    @ParameterizedTest
    @ValueSource(strings = {"Connection: keep-alive\r\n", "Keep-Alive: timeout=5\r\n"})
    void aBodyOnAPersistentConnectionOfHttp10IsNotDelivered(String fields) throws IOException {
        assertIsRefused("HTTP/1.0 200 OK", fields, BODY);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nConnection: close\r\n",
                "HTTP/1.1 200 OK\r\nConnection: CLOSE\r\n",
                "HTTP/1.1 200 OK\r\nConnection: x-other , close\r\n",
                "HTTP/1.1 200 OK\r\nConnection: x-other\r\nConnection: close\r\n",
                "HTTP/1.1 200 OK\r\nAccess-Control-Expose-Headers: Content-Length\r\nConnection: close\r\n",
                "HTTP/1.1 103 Hints\r\nKeep-Alive: timeout=5\r\n\r\nHTTP/1.1 200 OK\r\nConnection: close\r\n",
                "HTTP/1.0 200 OK\r\n",
                "HTTP/1.0 200 OK\r\nConnection: close\r\n"
            })
    void aBodyWhoseServerAnnouncesTheEndOfTheConnectionIsDelivered(String head) throws IOException {
        for (String method : List.of("GET", "POST")) {
            for (String body : List.of(BODY, "")) {
                assertIsDelivered(method, head, body);
            }
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "12\r\na part of the body\r\n0\r\n\r\n",
                "12\r\na part of the body\r\n0\r\n\r\nHTTP/1.1 200 OK",
                "12;a=b\r\na part",
                "12\r\n",
                "2\r\na \r\n8\r\npart of \r\n8",
                "0\r\n\r\n",
                "0\r\nX-Sum: a\r\n\r\n",
                "Content-Length: 18\r\n\r\na part of the body",
                "X-Other: a\r\ntransfer-encoding:chunked\r\n\r\n0\r\n\r\n",
                "Content-Length: 1",
                "Content-Type: text/plain\r\n\r\na part of the body",
                "X-Other: a\r\nX-More: b\r\n\r\n",
                "\r\na part of the body"
            })
    void aBodyThatHoldsTheFramingThatItsHeadLostIsNotDelivered(String body) throws IOException {
        for (String statusLine : List.of("HTTP/1.1 200 OK", "HTTP/1.0 500 Failure")) {
            BackendResult result = send("GET", statusLine + "\r\nConnection: close\r\n", body);
            assertThat(result).as(statusLine).isInstanceOf(NoValidResponse.class);
            assertThat(((NoValidResponse) result).reason()).isEqualTo(NoValidResponseReason.TRUNCATED_RESPONSE);
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "12",
                "12\n",
                "12\nab",
                "12 is a number\r\n",
                "1\r\nno data of one byte\r\n",
                "2\r\nab\r\nand more\r\n",
                "User-agent: *\nDisallow: /\n\nContent-Length: 5\n",
                "BEGIN:VCARD\r\nFN:a\r\nEND:VCARD\r\n",
                "a: b\r\nno field\r\n\r\nContent-Length: 5\r\n",
                "\na text",
                "{\"Content-Length\": 5}"
            })
    void aBodyThatOnlyBeginsLikeAFramingIsDelivered(String body) throws IOException {
        assertIsDelivered("GET", "HTTP/1.1 200 OK\r\nConnection: close\r\n", body);
    }

    @Test
    void aLongBodyIsDelivered() throws IOException {
        for (String body : List.of("a".repeat(100_000), "1".repeat(100_000), "a: b\n".repeat(20_000))) {
            assertIsDelivered("GET", "HTTP/1.1 200 OK\r\nConnection: close\r\n", body);
        }
    }

    private static void assertIsDelivered(String method, String head, String body) throws IOException {
        BackendResult result = send(method, head, body);
        assertThat(result).as(method).isInstanceOf(ResponseReceived.class);
        assertThat(((ResponseReceived) result).body()).asString().isEqualTo(body);
    }

    private static void assertIsRefused(String statusLine, String fields, String body) throws IOException {
        for (String method : List.of("GET", "POST")) {
            BackendResult result = send(method, statusLine + "\r\n" + fields, body);
            assertThat(result).as(method).isInstanceOf(NoValidResponse.class);
            assertThat(((NoValidResponse) result).reason()).isEqualTo(NoValidResponseReason.MALFORMED_HEAD);
        }
    }

    private static BackendResult send(String method, String head, String body) throws IOException {
        String response = head + "Cassiabank-Request-Id: id-1\r\nSigned: seal\r\n\r\n" + body;
        try (BackendClient client = BackendClient.create(
                        new BackendClientSettings(500, 1_000_000, 4, 5_000, 2_000),
                        new PlatformLikeHeaderConventions(),
                        ResponseMemory.ofHeap());
                ScriptedServer server = new ScriptedServer((request, socket) -> {
                    ScriptedServer.write(socket, response);
                    socket.close();
                })) {
            return client.send(BackendRequest.forAddress(
                    server.address(), method, "/", Map.of(), new byte[0], "id-1", method.equals("GET"), 5_000));
        }
    }
}
