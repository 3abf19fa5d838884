package org.cassiabank.backend;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.Map;
import org.cassiabank.health.AttemptOutcome;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against log lines that a server can break, forge or make as long as it likes, and against servers that count
 * as ended because they sent a bad response.
 */
class NoValidResponseTest {

    @Test
    void theDetailQuotesOneShortPrintableLineOfWhatTheServerSent() throws IOException {
        String statusLine = "HTP/1.1 200 OK\u0001message=\"forged\u001b[0m " + "x".repeat(50_000) + "\r\n\r\n";
        try (BackendClient client = BackendClient.create(BackendClientSettings.defaults());
                ScriptedServer server =
                        new ScriptedServer((request, socket) -> ScriptedServer.write(socket, statusLine))) {
            BackendResult result = client.send(BackendRequest.forAddress(
                    server.address(), "GET", "/", Map.of(), new byte[0], "id-1", true, 2_000));
            assertThat(result).isInstanceOf(NoValidResponse.class);
            String detail = ((NoValidResponse) result).detail();
            assertThat(detail).contains("HTP/1.1 200 OK\\u0001").hasSizeLessThan(1_000);
            assertThat(detail.chars()).allMatch(character -> character >= ' ' && character < 0x7f);
        }
    }

    @ParameterizedTest
    @CsvSource({
        "SPOILED, 'garbage in place of a head|'",
        "SPOILED, 'HTTP/1.1 200 OkHTTP/1.1 500 Error|Cassiabank-Request-Id: id-1|Content-Length: 2||ok'",
        "SPOILED, 'HTTP/1.1 200 OK|Cassiabank-Request-Id: id-1|Content-Length: 2||ok and bytes behind'",
        "SPOILED, 'HTTP/1.1 200 OK|Cassiabank-Request-Id: id-1|Transfer-Encoding: chunked||5;ENDLESS'",
        "SPOILED, 'HTTP/1.1 200 ENDLESS'",
        "BROKEN, 'HTTP/1.1 200 OK|Cassiabank-Request-Id: id-1|'",
        "BROKEN, 'HTTP/1.1 200 OK|Cassiabank-Request-Id: id-1|Content-Length: 20||ok'",
        "BROKEN, ''",
    })
    void onlyAConnectionThatEndsMayMeanThatItsServerHasEnded(AttemptOutcome expected, String response)
            throws IOException {
        String text = response.replace("|", "\r\n").replace("ENDLESS", "x".repeat(1_000_000));
        try (BackendClient client = BackendClient.create(BackendClientSettings.defaults());
                ScriptedServer server = new ScriptedServer((request, socket) -> {
                    ScriptedServer.write(socket, text);
                    socket.shutdownOutput();
                })) {
            BackendResult result = client.send(BackendRequest.forAddress(
                    server.address(), "GET", "/", Map.of(), new byte[0], "id-1", true, 2_000));
            assertThat(result.outcome()).isEqualTo(expected);
        }
    }
}
