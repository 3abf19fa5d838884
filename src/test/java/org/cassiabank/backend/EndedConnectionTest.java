package org.cassiabank.backend;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against requests that fail because they are written to an idle connection that has ended. */
@Timeout(20)
class EndedConnectionTest {
    @ParameterizedTest
    @CsvSource({"GET, true, true", "GET, true, false", "POST, false, true", "POST, false, false"})
    void aRequestIsSentOnceAndAnsweredWhenTheIdleConnectionWasEndedBefore(
            String method, boolean repeatable, boolean reset) throws Exception {
        try (BackendClient client = BackendClient.create(new BackendClientSettings(300, 1_000_000, 2, 5_000, 5_000));
                ScriptedServer server = new ScriptedServer((request, socket) -> {
                    ScriptedServer.respondingWith("whole").respond(request, socket);
                    if (request.connectionNumber() == 1) {
                        socket.setSoLinger(reset, 0);
                        socket.close();
                    }
                })) {
            assertWholeResponse(client, server, method, "one", repeatable);
            server.closedConnections.acquire();
            TimeUnit.MILLISECONDS.sleep(60);
            assertWholeResponse(client, server, method, "two", repeatable);
            assertWholeResponse(client, server, method, "three", repeatable);
            assertThat(server.receivedRequests).hasSize(3);
            assertThat(server.acceptedConnections).hasValue(2);
        }
    }

    private static void assertWholeResponse(
            BackendClient client, ScriptedServer server, String method, String requestId, boolean repeatable) {
        byte[] body = method.equals("POST") ? "order".getBytes(StandardCharsets.UTF_8) : new byte[0];
        BackendResult result = client.send(BackendRequest.forAddress(
                server.address(), method, "/p", Map.of(), body, requestId, repeatable, 5_000));
        assertThat(result).isInstanceOf(ResponseReceived.class);
        assertThat(((ResponseReceived) result).body()).asString().isEqualTo("whole");
    }
}
