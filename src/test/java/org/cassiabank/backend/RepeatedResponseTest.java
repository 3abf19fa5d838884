package org.cassiabank.backend;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.cassiabank.backend.ScriptedServer.ReceivedRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against taking a response that a server wrote once more for the response to another request: an earlier
 * refusal that makes a request count as not run although it runs, or a success where the server reported a failure.
 * Also guards against heads that break off and are delivered as complete.
 */
class RepeatedResponseTest {
    private static final String REFUSAL_FIELDS = "Cassiabank-Not-Run: true\r\nContent-Length: 0\r\n\r\n";
    private static final String SUCCESS_FIELDS = "Content-Length: 2\r\n\r\nok";
    private static final long LONG_IDLE_MILLIS = 60_000;

    private final BackendClient client =
            BackendClient.create(new BackendClientSettings(300, 1_000, 4, LONG_IDLE_MILLIS, LONG_IDLE_MILLIS));

    @AfterEach
    void close() {
        client.close();
    }

    /** When the earlier response is written once more. */
    enum Moment {
        WITH_THE_FIRST,
        WHILE_IDLE,
        WHILE_THE_NEXT_REQUEST_IS_SENT,
        AHEAD_OF_THE_NEXT_RESPONSE,
        BETWEEN_HEAD_AND_BODY_OF_A_LONG_REQUEST
    }

    @ParameterizedTest
    @EnumSource(Moment.class)
    void anEarlierRefusalThatIsRepeatedDoesNotMakeARunningRequestCountAsNotRun(Moment moment) throws Exception {
        assertRepeatedResponseIsNotTaken(moment, 503, REFUSAL_FIELDS, 200, SUCCESS_FIELDS);
    }

    @ParameterizedTest
    @EnumSource(Moment.class)
    void anEarlierSuccessThatIsRepeatedIsNotDeliveredWhereTheServerReportedAFailure(Moment moment) throws Exception {
        assertRepeatedResponseIsNotTaken(moment, 200, SUCCESS_FIELDS, 500, "Content-Length: 0\r\n\r\n");
    }

    private void assertRepeatedResponseIsNotTaken(
            Moment moment, int earlierStatus, String earlierFields, int status, String fields) throws Exception {
        try (ScriptedServer server = new ScriptedServer((request, socket) ->
                respondAndRepeat(moment, request, socket, earlierStatus, earlierFields, status, fields))) {
            int bodyBytes = moment == Moment.BETWEEN_HEAD_AND_BODY_OF_A_LONG_REQUEST ? 600_000 : 10;
            client.send(post(server, "earlier", 10));
            TimeUnit.MILLISECONDS.sleep(60);
            BackendResult result = client.send(post(server, "next", bodyBytes));
            // Either the response to this request, or none: never the earlier one, and no claim that nothing ran.
            if (result instanceof ResponseReceived response) {
                assertThat(response.status()).isEqualTo(status);
            } else {
                assertThat(result).isInstanceOf(NoValidResponse.class);
            }
            assertThat(result.attemptResult().provesNotRun()).isFalse();
            BackendResult later = client.send(post(server, "later", 10));
            assertThat(later instanceof ResponseReceived response ? response.status() : status)
                    .isEqualTo(status);
        }
    }

    private static void respondAndRepeat(
            Moment moment,
            ReceivedRequest request,
            Socket socket,
            int earlierStatus,
            String earlierFields,
            int status,
            String fields)
            throws IOException, InterruptedException {
        String earlier = "HTTP/1.1 " + earlierStatus + " Text\r\nCassiabank-Request-Id: earlier\r\n" + earlierFields;
        if (!request.header("Cassiabank-Request-Id").equals("earlier")) {
            if (moment == Moment.AHEAD_OF_THE_NEXT_RESPONSE && request.connectionNumber() == 1) {
                ScriptedServer.write(socket, earlier);
            }
            ScriptedServer.write(socket, request.responseHead(status) + fields);
            return;
        }
        ScriptedServer.write(socket, moment == Moment.WITH_THE_FIRST ? earlier + earlier : earlier);
        if (moment == Moment.WHILE_IDLE) {
            TimeUnit.MILLISECONDS.sleep(20);
            ScriptedServer.write(socket, earlier);
        } else if (moment == Moment.WHILE_THE_NEXT_REQUEST_IS_SENT) {
            awaitNextRequest(socket);
            ScriptedServer.write(socket, earlier);
        } else if (moment == Moment.BETWEEN_HEAD_AND_BODY_OF_A_LONG_REQUEST) {
            awaitNextRequest(socket);
            ScriptedServer.write(socket, earlier);
            TimeUnit.MILLISECONDS.sleep(100);
        }
    }

    /** Waits until the first bytes of the next request have arrived, which stay unread. */
    private static void awaitNextRequest(Socket socket) throws IOException, InterruptedException {
        for (int waits = 0; waits < 100 && socket.getInputStream().available() == 0; waits++) {
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }

    /** A request may be sent to the same server again under its identifier, after a refusal. */
    @Test
    void aRefusalThatIsRepeatedIsNotTakenForTheResponseToTheSameRequestSentAgain() throws Exception {
        try (ScriptedServer server = new ScriptedServer((request, socket) -> {
            if (request.connectionNumber() == 1) {
                String refusal = request.responseHead(503) + REFUSAL_FIELDS;
                ScriptedServer.write(socket, refusal);
                awaitNextRequest(socket);
                ScriptedServer.write(socket, refusal);
            } else {
                ScriptedServer.write(socket, request.responseHead(200) + SUCCESS_FIELDS);
            }
        })) {
            assertThat(client.send(post(server, "same", 10))).isInstanceOf(RequestShed.class);
            BackendResult again = client.send(post(server, "same", 10));
            assertThat(again).isInstanceOf(ResponseReceived.class);
            assertThat(server.acceptedConnections).hasValue(2);
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nCassiabank-Request-Id: id\r\nContent-Length: 2\r\n\r\n",
                "HTTP/1.1 200 OK\r\nCassiabank-Request-Id: id\r\nTransfer-Encoding: chunked\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Last: a\r\nCassiabank-Request-Id: id\r\n\r\n"
            })
    void aHeadThatBreaksOffAtAnyPlaceIsNeverDeliveredAsASuccess(String head) throws Exception {
        int complete = head.contains("Content-Length: 0") ? head.length() : head.length() + 1;
        for (int length = 0; length < Math.min(complete, head.length() + 1); length++) {
            String part = head.substring(0, length);
            try (ScriptedServer server = new ScriptedServer((request, socket) -> {
                ScriptedServer.write(socket, part);
                socket.close();
            })) {
                assertThat(client.send(post(server, "id", 0)))
                        .as("head cut after %d bytes", length)
                        .isInstanceOf(NoValidResponse.class);
            }
        }
    }

    private static BackendRequest post(ScriptedServer server, String requestId, int bodyBytes) {
        return BackendRequest.forAddress(
                server.address(),
                "POST",
                "/",
                Map.of("X-Kind", List.of("order")),
                new byte[bodyBytes],
                requestId,
                false,
                2_000);
    }
}
