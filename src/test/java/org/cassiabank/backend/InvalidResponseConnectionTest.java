package org.cassiabank.backend;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against further requests on a connection whose latest response was not valid or was followed by bytes. */
class InvalidResponseConnectionTest {
    private static final long LONG_IDLE_MILLIS = 60_000;

    private final BackendClient client = BackendClient.create(
            new BackendClientSettings(300, 1_000, 4, LONG_IDLE_MILLIS, LONG_IDLE_MILLIS),
            new PlatformLikeHeaderConventions(),
            ResponseMemory.ofHeap());

    @AfterEach
    void close() {
        client.close();
    }

    @ParameterizedTest
    @CsvSource({"GET,500,another", "HEAD,500,another", "GET,304,another", "POST,200,another", "GET,200,first"})
    void noRequestFollowsAResponseWithoutABodyThatIsNotValid(String method, int status, String identifier)
            throws Exception {
        try (ScriptedServer server = new ScriptedServer((request, socket) -> {
            if (request.header("Cassiabank-Request-Id").equals("first")) {
                ScriptedServer.write(
                        socket,
                        "HTTP/1.1 " + status + " Text\r\nCassiabank-Request-Id: " + identifier
                                + "\r\nContent-Length: 0\r\n\r\n");
            } else {
                ScriptedServer.write(socket, request.responseHead(500) + "Content-Length: 0\r\n\r\n");
            }
        })) {
            assertThat(client.send(request(server, method, "first"))).isInstanceOf(NoValidResponse.class);
            client.send(request(server, method, "second"));
            assertThat(server.receivedRequests)
                    .extracting(ScriptedServer.ReceivedRequest::connectionNumber)
                    .containsExactly(1, 2);
        }
    }

    @Test
    void noRequestFollowsABodyThatHoldsAnotherResponse() throws Exception {
        try (ScriptedServer server = new ScriptedServer((request, socket) -> {
            String whole = request.responseHead(500) + "Content-Length: 4\r\n\r\nbody";
            ScriptedServer.write(
                    socket,
                    request.header("Cassiabank-Request-Id").equals("first")
                            ? request.responseHead(500) + "Content-Length: " + whole.length() + "\r\n\r\n" + whole
                            : whole);
        })) {
            assertThat(client.send(request(server, "GET", "first"))).isInstanceOf(NoValidResponse.class);
            assertThat(client.send(request(server, "GET", "second"))).isInstanceOf(ResponseReceived.class);
            assertThat(server.receivedRequests)
                    .extracting(ScriptedServer.ReceivedRequest::connectionNumber)
                    .containsExactly(1, 2);
        }
    }

    @Test
    void noRequestFollowsAResponseBehindWhichMoreBytesAreReadThanItMayHave() throws Exception {
        try (ScriptedServer server = new ScriptedServer((request, socket) -> {
            String head = request.responseHead(500) + "Content-Length: 1\r\nX-Long: ";
            String padding = "a".repeat((int) ResponseMeter.MAXIMUM_BYTES_OUTSIDE_BODY - head.length() - 100);
            ScriptedServer.write(socket, head + padding + "\r\n\r\n");
            TimeUnit.MILLISECONDS.sleep(100);
            ScriptedServer.write(socket, "b" + "c".repeat(8_000));
        })) {
            client.send(request(server, "GET", "first"));
            client.send(request(server, "GET", "second"));
            assertThat(server.receivedRequests)
                    .extracting(ScriptedServer.ReceivedRequest::connectionNumber)
                    .containsExactly(1, 2);
        }
    }

    private static BackendRequest request(ScriptedServer server, String method, String requestId) {
        return BackendRequest.forAddress(
                server.address(),
                method,
                "/",
                Map.of(),
                new byte[0],
                requestId,
                !method.equals("POST"),
                TimeUnit.SECONDS.toMillis(5));
    }
}
