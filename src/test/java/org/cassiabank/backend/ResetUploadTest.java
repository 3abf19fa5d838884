package org.cassiabank.backend;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import okhttp3.ConnectionPool;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.cassiabank.http.SeparateResponses;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against delivering a part of a response as a whole one because its connection was reset while the request was
 * still being written. The operating system reports the reset once, to the write; the next read sees an orderly end.
 */
@Timeout(60)
class ResetUploadTest {
    /** More than the buffers of a connection hold, so that the client is still writing when the server resets it. */
    private static final int UPLOAD_BYTES = 16_000_000;

    private static final int RECEIVE_BUFFER_BYTES = 4_096;
    private static final long PAUSE_MILLIS = 200;
    private static final String WHOLE_BODY = "whole answer";

    private final BackendClient client = BackendClient.create(
            new BackendClientSettings(500, 1_000_000, 4, 5_000, 2_000),
            new PlatformLikeHeaderConventions(),
            ResponseMemory.ofHeap());
    private ServerSocket listener;

    @BeforeEach
    void listen() throws IOException {
        listener = new ServerSocket();
        listener.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    }

    @AfterEach
    void closeAll() throws IOException {
        client.close();
        listener.close();
    }

    @ParameterizedTest
    @CsvSource({"200, 9, false", "200, 1500, false", "200, 1500, true", "500, 600, false", "200, 0, false"})
    void aPartOfABodyWithoutALengthIsNotDeliveredAfterAReset(int status, int partBytes, boolean repeatable) {
        serveOneConnection(socket -> {
            respond(socket, status, "Connection: close\r\n\r\n" + "a".repeat(partBytes));
            TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
            reset(socket);
        });
        BackendResult result = upload(repeatable);
        assertThat(result).isInstanceOf(NoValidResponse.class);
        assertThat(result.attemptResult().provesNotRun()).isFalse();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: 12\r\n\r\n" + WHOLE_BODY,
                "Transfer-Encoding: chunked\r\n\r\nc\r\n" + WHOLE_BODY + "\r\n0\r\n\r\n"
            })
    void aBodyWithADeclaredEndIsDeliveredAfterAReset(String fieldsAndBody) {
        serveOneConnection(socket -> {
            respond(socket, 200, fieldsAndBody);
            TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
            reset(socket);
        });
        assertIsWhole(upload(false));
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void anEarlyBodyWithoutALengthIsDeliveredIfItsConnectionEndsInOrder(boolean repeatable) {
        serveOneConnection(socket -> {
            respond(socket, 200, "Connection: close\r\n\r\n" + WHOLE_BODY);
            socket.getInputStream().skipNBytes(UPLOAD_BYTES);
            socket.close();
        });
        assertIsWhole(upload(repeatable));
    }

    @Test
    void clientsOfOtherServicesRefuseAPartOfABodyToo() {
        serveOneConnection(socket -> {
            respond(socket, 200, "Connection: close\r\n\r\n{}");
            TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
            reset(socket);
        });
        OkHttpClient otherClient = SeparateResponses.newClientBuilder(new ConnectionPool(), 1_000_000, Set.of())
                .build();
        Request request = new Request.Builder()
                .url("http://127.0.0.1:" + listener.getLocalPort() + "/u")
                .post(RequestBody.create(new byte[UPLOAD_BYTES], null))
                .build();
        assertThatThrownBy(() -> {
                    try (Response response = otherClient.newCall(request).execute()) {
                        response.body().bytes();
                    }
                })
                .isInstanceOf(IOException.class);
    }

    private static void assertIsWhole(BackendResult result) {
        assertThat(result).isInstanceOf(ResponseReceived.class);
        assertThat(((ResponseReceived) result).body()).asString().isEqualTo(WHOLE_BODY);
    }

    private BackendResult upload(boolean repeatable) {
        return client.send(BackendRequest.forAddress(
                "127.0.0.1:" + listener.getLocalPort(),
                "POST",
                "/u",
                Map.of(),
                new byte[UPLOAD_BYTES],
                "id-1",
                repeatable,
                20_000));
    }

    private static void respond(Socket socket, int status, String fieldsAndBody) throws IOException {
        ScriptedServer.write(
                socket,
                "HTTP/1.1 " + status + " Text\r\nCassiabank-Request-Id: id-1\r\nSigned: seal\r\n" + fieldsAndBody);
    }

    private static void reset(Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    /** Reads only the head of the request before the script runs. */
    private void serveOneConnection(ConnectionScript script) {
        Thread.startVirtualThread(() -> {
            try {
                Socket socket = listener.accept();
                readHead(socket.getInputStream());
                script.serve(socket);
            } catch (Exception expected) {
                // The client or the test closed the connection; the assertions notice what is missing.
            }
        });
    }

    private static void readHead(InputStream input) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = input.read();
            if (next < 0) {
                throw new IOException("connection ended");
            }
            head.append((char) next);
        }
    }

    private interface ConnectionScript {
        void serve(Socket socket) throws Exception;
    }
}
