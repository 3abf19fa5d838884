package org.cassiabank.backend;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against the delivery of a body that ends with the beginning of another response. */
class LateRestOfAnotherResponseTest {
    private static final String BODY = "the body of the response, long enough to hold the beginning of another one}";
    private static final long GAP_MILLIS = 5;

    private static String head(int status, String framing) {
        return "HTTP/1.1 " + status + " Reason\r\nSigned: seal-" + status
                + "\r\nDate: Sat, 05 Dec 2026 11:29:40 GMT\r\nCassiabank-Request-Id: id-1\r\n" + framing + "\r\n";
    }

    @ParameterizedTest
    @ValueSource(ints = {8, 12, 16, 22, 30, 50})
    void aBodyIsNotCompletedByTheBeginningOfAResponseWhoseRestComesLater(int foreignBytes) throws Exception {
        String length = "Content-Length: " + BODY.length() + "\r\n";
        String second = head(500, length) + BODY;
        BackendResult result = send("GET", (request, socket) -> {
            ScriptedServer.write(
                    socket,
                    head(200, length)
                            + BODY.substring(0, BODY.length() - foreignBytes)
                            + second.substring(0, foreignBytes));
            TimeUnit.MILLISECONDS.sleep(GAP_MILLIS);
            ScriptedServer.write(socket, second.substring(foreignBytes));
        });
        assertThat(result).isInstanceOf(NoValidResponse.class);
    }

    @ParameterizedTest
    @ValueSource(strings = {"ends with HTTP/1.1", "ends with HTTP/1.1 404 Not Found", "tells of HTTP/1.1 and more"})
    void aBodyThatEndsLikeTheBeginningOfAResponseIsDelivered(String body) throws Exception {
        BackendResult result = send(
                "GET",
                (request, socket) ->
                        ScriptedServer.write(socket, head(200, "Content-Length: " + body.length() + "\r\n") + body));
        assertThat(result).isInstanceOf(ResponseReceived.class);
    }

    private static BackendResult send(String method, ScriptedServer.Script script) throws IOException {
        try (BackendClient client = BackendClient.create(
                        new BackendClientSettings(300, 10_000, 4, 60_000, 60_000),
                        new PlatformLikeHeaderConventions(),
                        ResponseMemory.ofHeap());
                ScriptedServer server = new ScriptedServer(script)) {
            return client.send(BackendRequest.forAddress(
                    server.address(), method, "/", Map.of(), new byte[0], "id-1", method.equals("GET"), 2_000));
        }
    }
}
