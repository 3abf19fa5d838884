package org.cassiabank.backend;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Guards against a log that cannot tell whether a response was joined with the one before it on its connection. */
class ResponseObservationTest {
    private static final long IDLE_MILLIS = 60_000;

    @Test
    void theObservationOfAResponseTellsItsReasonPhraseAndItsPlaceOnTheConnection() throws IOException {
        try (BackendClient client =
                        BackendClient.create(new BackendClientSettings(300, 1_000, 4, IDLE_MILLIS, IDLE_MILLIS));
                ScriptedServer server = new ScriptedServer((request, socket) -> {
                    String response = request.responseHead(200) + "Content-Length: 1\r\n\r\n1";
                    boolean repeated = request.header("Cassiabank-Request-Id").equals("second");
                    ScriptedServer.write(socket, repeated ? response + response : response);
                })) {
            assertThat(observation(client, server, "first"))
                    .isEqualTo("[Text], ended by length, request 1 of its connection");
            assertThat(observation(client, server, "second"))
                    .startsWith("[Text], ended by length, request 2 of its connection, ")
                    .endsWith(" bytes behind");
        }
    }

    private static String observation(BackendClient client, ScriptedServer server, String requestId) {
        BackendResult result = client.send(
                BackendRequest.forAddress(server.address(), "GET", "/", Map.of(), new byte[0], requestId, true, 5_000));
        assertThat(result).isInstanceOf(ResponseReceived.class);
        return ((ResponseReceived) result).observation();
    }
}
