package org.cassiabank.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.TimeUnit;
import okhttp3.ConnectionPool;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import org.cassiabank.backend.ScriptedServer;
import org.junit.jupiter.api.Test;

/** Guards against further requests on a connection from which bytes behind a response were read and dropped. */
class SeparateResponsesTest {
    private static final int MAXIMUM_RESPONSE_BYTES = 1_000;

    @Test
    void noRequestFollowsAResponseBehindWhichMoreBytesAreReadThanItMayHave() throws Exception {
        OkHttpClient client = SeparateResponses.newClientBuilder(
                        new ConnectionPool(), MAXIMUM_RESPONSE_BYTES, List.of())
                .build();
        try (ScriptedServer server = new ScriptedServer((request, socket) -> {
            ScriptedServer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n");
            TimeUnit.MILLISECONDS.sleep(100);
            ScriptedServer.write(socket, "b" + "c".repeat(MAXIMUM_RESPONSE_BYTES));
        })) {
            for (int call = 0; call < 2; call++) {
                Request request = new Request.Builder()
                        .url("http://" + server.address() + "/")
                        .build();
                try (Response response = client.newCall(request).execute()) {
                    assertThat(response.body().string()).isEqualTo("b");
                }
            }
            assertThat(server.acceptedConnections).hasValue(2);
        }
    }
}
