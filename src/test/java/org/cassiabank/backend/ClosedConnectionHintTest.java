package org.cassiabank.backend;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against requests that are steered to a server because of a connection that is already closed. */
class ClosedConnectionHintTest {

    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 200 OK\r\n", "not a response"})
    void aConnectionThatWasClosedBecauseBytesFollowedIsNoIdleConnection(String bytesBehind) throws Exception {
        try (BackendClient client = BackendClient.create(new BackendClientSettings(300, 1_000, 4, 60_000, 60_000));
                ScriptedServer server = new ScriptedServer((request, socket) -> ScriptedServer.write(
                        socket, request.responseHead(200) + "Content-Length: 2\r\n\r\nok" + bytesBehind))) {
            client.send(new BackendRequest(
                    "service", "server", server.address(), "GET", "/", Map.of(), new byte[0], "id-1", true, 2_000));
            assertThat(client.serversWithIdleConnection("service", true)).isEmpty();
        }
    }
}
