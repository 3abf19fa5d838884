package org.cassiabank.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.ProtocolException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import okhttp3.ConnectionPool;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.cassiabank.backend.ScriptedServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards what happens on a connection between its responses. */
class SeparateResponsesTest {
    private static final int MAXIMUM_RESPONSE_BYTES = 1_000;
    private static final int LARGE_RESPONSE_BYTES = 100_000;

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

    @Test
    void aRequestIsSentAtOnceOnAConnectionThatWasIdleForLong() throws Exception {
        OkHttpClient client = SeparateResponses.newClientBuilder(new ConnectionPool(), LARGE_RESPONSE_BYTES, List.of())
                .callTimeout(5, TimeUnit.SECONDS)
                .build();
        String body = "b".repeat(30_000);
        try (ScriptedServer server = new ScriptedServer((request, socket) -> ScriptedServer.write(
                socket, "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body))) {
            Request.Builder builder = new Request.Builder().url("http://" + server.address() + "/");
            try (Response response = client.newCall(builder.build()).execute()) {
                assertThat(response.body().string()).isEqualTo(body);
            }
            // OkHttp examines a connection that was idle for 10 s before it sends such a request on it.
            TimeUnit.MILLISECONDS.sleep(10_200);
            Request request =
                    builder.post(RequestBody.create(new byte[1], null)).build();
            try (Response response = client.newCall(request).execute()) {
                assertThat(response.body().string()).isEqualTo(body);
            }
            assertThat(server.acceptedConnections).hasValue(1);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "Content-Lengtx: 3000\r\n", "Connection: close\r\nKeep-Alive: timeout=5\r\n"})
    void aBodyWhoseEndIsNotAnnouncedIsRefused(String fields) throws Exception {
        assertThatThrownBy(() -> receiveUntilEndOfConnection(fields)).isInstanceOf(ProtocolException.class);
    }

    @Test
    void aBodyWhoseServerAnnouncesTheEndOfTheConnectionIsDelivered() throws Exception {
        assertThat(receiveUntilEndOfConnection("Connection: close\r\n")).isEqualTo("[]");
    }

    private static String receiveUntilEndOfConnection(String fields) throws IOException {
        OkHttpClient client = SeparateResponses.newClientBuilder(new ConnectionPool(), LARGE_RESPONSE_BYTES, List.of())
                .build();
        try (ScriptedServer server = new ScriptedServer((request, socket) -> {
            ScriptedServer.write(socket, "HTTP/1.1 200 OK\r\n" + fields + "\r\n[]");
            socket.close();
        })) {
            Request request = new Request.Builder()
                    .url("http://" + server.address() + "/")
                    .build();
            try (Response response = client.newCall(request).execute()) {
                return response.body().string();
            }
        }
    }
}
