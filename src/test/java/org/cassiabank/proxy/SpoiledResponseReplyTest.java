package org.cassiabank.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import org.cassiabank.backend.ScriptedServer;
import org.cassiabank.declaration.CostHint;
import org.cassiabank.declaration.Selector;
import org.cassiabank.declaration.ServiceDeclaration;
import org.cassiabank.revision.Change;
import org.cassiabank.revision.PutEdit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against replies with a body that is not the server's, because the head of its response is spoiled. */
@Timeout(30)
class SpoiledResponseReplyTest {
    private static final String SOUND_BODY = "of a sound server";

    private final EntryFixture entry = new EntryFixture();
    private final List<String> methodsAtSpoilingServer = new CopyOnWriteArrayList<>();

    @BeforeEach
    void configure() {
        entry.fleet.apply(List.of(new Change(
                1,
                "first",
                List.of(
                        new PutEdit(new ServiceDeclaration("desk", 2, 0, 1_000), 0),
                        new PutEdit(selector("orders", "POST", false), 0),
                        new PutEdit(selector("reads", "GET", true), 0)))));
        entry.startPeer((call, argument) -> null);
    }

    @AfterEach
    void closeAll() throws Exception {
        entry.close();
    }

    /** Each is followed by a part of the body and an orderly end of the connection. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK|ID|Content-Lengtx: 3000||",
                "HTTP/1.1 200 OK|ID|Content-Lengtx: 3000|Keep-Alive: timeout=5||",
                "HTTP/1.1 200 OK|ID|Content-Length: +17||",
                "HTTP/1.1 200 OK|ID|Content-Length: 17\u001c||",
                "HTTP/1.1 200 OK|ID||Content-Length: 3000||",
                "HTTP/1.1 200 OK|ID|X-Other: a..Content-Length: 3000||",
                "HTTP/1.1 200 OK|ID|Connection: close||Content-Length: 3000||",
                "HTTP/1.1 200 OK|ID|Transfer-Encodinq: chunked||bb8|",
                "HTTP/1.1 200 OK|ID|Transfer-Encodinq: chunked|Connection: close||bb8|",
                "HTTP/1.1 200 OK|ID|no field|Content-Length: 17||",
                "HTTP/1.1 200 OK|ID|X Y: a|Content-Length: 17||",
                "HTTP/1.1 200 OK|ID|X\u0001Y: a|Content-Length: 17||",
                "HTTP/1.1 000 OK|ID|Content-Length: 17||",
                "HTTP/1.1 000|ID|Content-Length: 17||"
            })
    void aSpoiledResponseReachesNoCaller(String head) throws IOException {
        entry.startServer((request, socket) -> {
            methodsAtSpoilingServer.add(
                    request.head().substring(0, request.head().indexOf(' ')));
            String id = "Request-Id: " + request.header("Request-Id") + "\r\nResponse-Seal: s";
            ScriptedServer.write(socket, head.replace("|", "\r\n").replace("ID", id) + "a part of a body.");
            socket.close();
        });
        entry.startServer((request, socket) -> ScriptedServer.write(
                socket,
                "HTTP/1.1 200 OK\r\nRequest-Id: " + request.header("Request-Id") + "\r\nResponse-Seal: s\r\n"
                        + "Content-Length: " + SOUND_BODY.length() + "\r\n\r\n" + SOUND_BODY));

        CallerReply readReply = send("GET");
        assertThat(readReply.status()).isEqualTo(200);
        assertThat(readReply.body()).asString().isEqualTo(SOUND_BODY);
        CallerReply orderReply = send("POST");
        assertThat(orderReply.status()).isEqualTo(504);
        assertThat(orderReply.firstHeader(CallerReply.OUTCOME_HEADER)).isEqualTo("unknown");
        assertThat(orderReply.headers()).doesNotContainKey("Response-Seal");
        assertThat(methodsAtSpoilingServer).containsExactly("GET", "POST");
    }

    private CallerReply send(String method) {
        return entry.handler.handle(
                new CallerRequest(
                        method,
                        "/desk/a",
                        Map.of("request-id", List.of("id-" + method), "deadline-ms", List.of("3000")),
                        new byte[0],
                        "10.0.0.9"),
                CallerPresence.create());
    }

    private static Selector selector(String name, String method, boolean repeatable) {
        return Selector.forAllHosts(
                name, "desk", Set.of(method), "/desk", "*", Map.of(), 1, repeatable, CostHint.LEARNED, 0);
    }
}
