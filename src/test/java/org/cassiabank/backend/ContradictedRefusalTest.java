package org.cassiabank.backend;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a second run of an order that its server has refused and then answered. */
class ContradictedRefusalTest {
    private static String head(int status, String framing) {
        return "HTTP/1.1 " + status + " Reason\r\nSigned: seal-" + status
                + "\r\nDate: Sat, 05 Dec 2026 11:29:40 GMT\r\nCassiabank-Request-Id: id-1\r\n" + framing + "\r\n";
    }

    @ParameterizedTest
    @CsvSource({"421,200", "421,500"})
    void aRefusalBehindWhichTheServerGivesAnotherResponseDoesNotProveThatNothingRan(int refusal, int status)
            throws Exception {
        String empty = "Content-Length: 0\r\n";
        BackendResult result = send(
                "POST", (request, socket) -> ScriptedServer.write(socket, head(refusal, empty) + head(status, empty)));
        assertThat(result.attemptResult().provesNotRun()).isFalse();
    }

    @Test
    void aRefusalBehindWhichTheServerReportsAFailureWithTheSameStatusDoesNotProveThatNothingRan() throws Exception {
        String refusal = head(503, "Cassiabank-Not-Run: true\r\nContent-Length: 0\r\n");
        String failure = head(503, "Content-Length: 0\r\n");
        BackendResult result = send("POST", (request, socket) -> ScriptedServer.write(socket, refusal + failure));
        assertThat(result.attemptResult().provesNotRun()).isFalse();
    }

    @Test
    void aRefusalByAHeaderThatIsRepeatedStillProvesThatNothingRan() throws Exception {
        String refusal = head(503, "Cassiabank-Not-Run: true\r\nContent-Length: 0\r\n");
        for (String copy : List.of(
                refusal,
                refusal.replace("\r\n", "\n"),
                refusal.toLowerCase(Locale.ROOT).replace("http", "HTTP"))) {
            BackendResult result = send("POST", (request, socket) -> ScriptedServer.write(socket, refusal + copy));
            assertThat(result.attemptResult().provesNotRun()).isTrue();
        }
    }

    @Test
    void aRefusalThatIsRepeatedStillProvesThatNothingRan() throws Exception {
        String refusal = head(421, "Content-Length: 0\r\n");
        BackendResult result = send("POST", (request, socket) -> ScriptedServer.write(socket, refusal + refusal));
        assertThat(result.attemptResult().provesNotRun()).isTrue();
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
