package org.cassiabank.backend;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.cassiabank.admission.RateLimitNotice;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against requests that run at the wrong server, against responses that do not come from the server, and against
 * unrepeatable requests on an idle connection that the server may have closed unnoticed.
 */
@Timeout(20)
class HeaderConventionsTest {
    private static final long UNREPEATABLE_IDLE_MILLIS = 150;

    /** The requests of the current test, each of which has an identifier of its own. */
    private int sentRequests;

    /** Connects within 300 ms, accepts 1 MB and keeps 2 idle connections for 5 s. */
    private final BackendClient client = BackendClient.create(
            new BackendClientSettings(300, 1_000_000, 2, 5_000, UNREPEATABLE_IDLE_MILLIS),
            new PlatformLikeHeaderConventions(),
            ResponseMemory.ofHeap());

    private final List<AutoCloseable> resources = new ArrayList<>(List.of(client));

    @AfterEach
    void closeAll() throws Exception {
        for (AutoCloseable resource : resources.reversed()) {
            resource.close();
        }
    }

    @Test
    void aRequestNamesItsServerAndTheRemainingMillis() throws IOException {
        ScriptedServer server = startServer(respondingSigned("text"));
        assertThat(send(server, "POST", false)).isInstanceOf(ResponseReceived.class);
        assertThat(server.receivedRequests.getFirst().header("Meant-For")).isEqualTo("server-1");
        assertThat(server.receivedRequests.getFirst().header("Left")).isEqualTo("5000");
        assertThat(server.receivedRequests.getFirst().header("Connection")).isNull();
    }

    @Test
    void aMisdirectedRequestProvablyDidNotRun() throws IOException {
        ScriptedServer server = startServer((request, socket) ->
                ScriptedServer.write(socket, request.responseHead(421) + "Content-Length: 0\r\n\r\n"));
        assertThat(send(server, "POST", false)).isInstanceOf(RequestShed.class);
    }

    @Test
    void aSuccessfulResponseWithoutASignatureIsNotDelivered() throws IOException {
        ScriptedServer server = startServer(ScriptedServer.respondingWith("text"));
        assertThat(send(server, "GET", true)).isInstanceOf(NoValidResponse.class);
    }

    @Test
    void aResponseWithoutALengthEndsWithItsConnectionIfItAnnouncesThat() throws IOException {
        ScriptedServer server = startServer((request, socket) -> {
            ScriptedServer.write(
                    socket, request.responseHead(200) + "Signed: s\r\nConnection: close\r\n\r\nwhole text");
            socket.close();
        });
        ResponseReceived response = (ResponseReceived) send(server, "GET", true);
        assertThat(new String(response.body(), StandardCharsets.UTF_8)).isEqualTo("whole text");
    }

    @Test
    void aResponseWithoutALengthIsIncompleteIfItsConnectionIsReset() throws IOException {
        ScriptedServer server = startServer((request, socket) -> {
            ScriptedServer.write(socket, request.responseHead(200) + "Signed: s\r\nConnection: close\r\n\r\npart");
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(50));
            socket.setSoLinger(true, 0);
            socket.close();
        });
        assertThat(send(server, "GET", true)).isInstanceOf(NoValidResponse.class);
    }

    @Test
    void anUnrepeatableRequestReusesAConnectionOnlyShortlyAfterItsLastResponse() throws IOException {
        ScriptedServer server = startServer(respondingSigned("text"));
        send(server, "POST", false);
        send(server, "POST", false);
        assertThat(server.acceptedConnections).hasValue(1);
        assertThat(client.serversWithIdleConnection("service", false)).containsExactly("server-1");
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(2 * UNREPEATABLE_IDLE_MILLIS));
        assertThat(client.serversWithIdleConnection("service", false)).isEmpty();
        assertThat(client.serversWithIdleConnection("service", true)).containsExactly("server-1");
        send(server, "POST", false);
        assertThat(server.acceptedConnections).hasValue(2);
        send(server, "GET", true);
        assertThat(server.acceptedConnections).as("the new connection is kept").hasValue(2);
    }

    @Test
    void anUnrepeatableRequestUsesNoOldConnectionBesideARecentOne() throws Exception {
        ScriptedServer server = startServer((request, socket) -> {
            TimeUnit.MILLISECONDS.sleep(request.connectionNumber() == 1 ? 50 : 4 * UNREPEATABLE_IDLE_MILLIS);
            respondingSigned("text").respond(request, socket);
        });
        List<Thread> requests = new ArrayList<>();
        for (int index = 0; index < 2; index++) {
            requests.add(Thread.startVirtualThread(() -> send(server, "GET", true)));
        }
        for (Thread request : requests) {
            request.join();
        }
        assertThat(server.acceptedConnections).hasValue(2);
        // The first connection has been idle for too long, the second one has just responded.
        send(server, "POST", false);
        assertThat(server.receivedRequests.getLast().connectionNumber()).isNotEqualTo(1);
    }

    @Test
    void anAddressThatMovedToAnotherServerStartsWithANewConnection() throws IOException {
        ScriptedServer server = startServer(respondingSigned("text"));
        send(server, "GET", true);
        client.send(request(server, "GET", "server-2", true));
        assertThat(server.acceptedConnections).hasValue(2);
        assertThat(client.serversWithIdleConnection("service", true)).containsExactly("server-2");
    }

    @Test
    void aResponseNamesTheLimitOfItsServerButNotThatOfTheServerThatWasMeant() throws IOException {
        ScriptedServer limited = startServer((request, socket) -> ScriptedServer.write(
                socket, request.responseHead(200) + "Signed: s\r\nAccepts: 1.6\r\nContent-Length: 0\r\n\r\n"));
        assertThat(send(limited, "GET", true).notice().rateLimit()).isEqualTo(new RateLimitNotice.Limited(1.6));
        ScriptedServer other = startServer((request, socket) ->
                ScriptedServer.write(socket, request.responseHead(421) + "Accepts: 1.6\r\nContent-Length: 0\r\n\r\n"));
        assertThat(send(other, "GET", true).notice().rateLimit()).isEqualTo(new RateLimitNotice.Unknown());
        ScriptedServer invalid = startServer((request, socket) -> ScriptedServer.write(
                socket, request.responseHead(200) + "Signed: s\r\nAccepts: NaN\r\nContent-Length: 0\r\n\r\n"));
        assertThat(send(invalid, "GET", true).notice().rateLimit()).isEqualTo(new RateLimitNotice.Unlimited());
    }

    private static ScriptedServer.Script respondingSigned(String text) {
        return (request, socket) -> ScriptedServer.write(
                socket,
                request.responseHead(200) + "Signed: s\r\nContent-Length: " + text.length() + "\r\n\r\n" + text);
    }

    private ScriptedServer startServer(ScriptedServer.Script script) throws IOException {
        ScriptedServer server = new ScriptedServer(script);
        resources.add(server);
        return server;
    }

    private BackendResult send(ScriptedServer server, String method, boolean repeatable) {
        return client.send(request(server, method, "server-1", repeatable));
    }

    private BackendRequest request(ScriptedServer server, String method, String serverName, boolean repeatable) {
        byte[] body = method.equals("POST") ? "order".getBytes(StandardCharsets.UTF_8) : new byte[0];
        Map<String, List<String>> headers = Map.of("Meant-For", List.of("of-caller"));
        return new BackendRequest(
                "service",
                serverName,
                server.address(),
                method,
                "/p",
                headers,
                body,
                "id-" + ++sentRequests,
                repeatable,
                5_000);
    }
}
