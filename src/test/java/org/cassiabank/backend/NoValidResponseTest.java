package org.cassiabank.backend;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Guards against log lines that a server can break, forge or make as long as it likes. */
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
}
