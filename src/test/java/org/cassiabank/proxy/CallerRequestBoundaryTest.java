package org.cassiabank.proxy;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.tuple;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import org.cassiabank.backend.HeaderConventions;
import org.cassiabank.load.FreePorts;
import org.cassiabank.platform.KeyValueAdapter;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against carrying out a mixture of two requests of a caller, the first of which broke off in its head. */
@Timeout(60)
class CallerRequestBoundaryTest {
    private static final CallerLimits LIMITS = new CallerLimits(100, 100, 8_192, 8_192, 1_000, 300, 1_000);
    private static final String SECOND =
            "POST /second HTTP/1.1\r\nHost: shop\r\nRequest-Id: id-2\r\nContent-Length: 3\r\n"
                    + "Connection: close\r\n\r\ntwo";

    private final List<CallerRequest> handled = new CopyOnWriteArrayList<>();
    private final CallerServer server = CallerServer.create(
            LIMITS,
            (request, presence) -> {
                handled.add(request);
                return CallerReply.answered(200, Map.of(), new byte[0]);
            },
            ProxyMetrics.create());
    private final HeaderConventions conventions = new KeyValueAdapter().headerConventions();
    private final int port = FreePorts.nextPort();

    @BeforeEach
    void startServer() {
        server.start(new HostAndPort("127.0.0.1", port), Optional.empty());
    }

    @AfterEach
    void stopServer() {
        server.close();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "GET /first HTTP/1.1\r\nHost: shop\r\nRequest-Id: id-1\r\nDeadline-Ms: 1000\r\n\r\n",
                "GET /first HTTP/1.1\r\nRequest-Id: id-1\r\nDeadline-Ms: 1000\r\nHost: shop\r\n\r\n",
                "POST /first HTTP/1.1\r\nHost: shop\r\nRequest-Id: id-1\r\nContent-Length: 0\r\n\r\n",
                "POST /first HTTP/1.1\r\nContent-Length: 0\r\nRequest-Id: id-1\r\nHost: shop\r\n\r\n",
                "POST /first HTTP/1.1\r\nTransfer-Encoding: chunked\r\nRequest-Id: id-1\r\nHost: shop\r\n\r\n"
            })
    void aRequestThatBreaksOffInItsHeadIsNotJoinedWithTheNextOne(String first) throws IOException {
        List<String> joined = new ArrayList<>();
        // A part of the method in front of another one is a valid method, which nobody can tell from the intended one.
        for (int length = first.indexOf(' ') + 1; length < first.length(); length++) {
            handled.clear();
            String replies = exchange(first.substring(0, length) + SECOND);
            assertThat(replies).contains("HTTP/1.1 ");
            for (CallerRequest request : handled) {
                if (!BackendRequests.canForward(request, conventions)) {
                    continue;
                }
                joined.add(first.substring(0, length) + " -> " + request.method() + " " + request.target() + " "
                        + request.headers());
            }
        }
        assertThat(joined).as("requests that were carried out").isEmpty();
    }

    @Test
    void whatStandsBehindARequestIsARequestOfItsOwn() throws IOException {
        String replies = exchange("POST /first HTTP/1.1\r\nHost: shop\r\nContent-Length: 3\r\n\r\none" + SECOND);
        assertThat(handled)
                .extracting(CallerRequest::target, request -> new String(request.body(), StandardCharsets.UTF_8))
                .containsExactly(tuple("/first", "one"), tuple("/second", "two"));
        assertThat(replies.split("HTTP/1.1 200", -1)).hasSize(3);
    }

    @Test
    void aBodyThatIsLongerThanDeclaredEndsTheConnectionAfterTheReply() throws IOException {
        String replies = exchange(
                "POST /first HTTP/1.1\r\nHost: shop\r\nContent-Length: 3\r\n\r\none and more\r\n\r\n" + SECOND);
        assertThat(handled).extracting(CallerRequest::target).containsExactly("/first");
        assertThat(replies).startsWith("HTTP/1.1 200").contains("HTTP/1.1 400");
    }

    /** Sends all bytes and returns what arrives until the connection ends. */
    private String exchange(String bytes) throws IOException {
        StringBuilder received = new StringBuilder();
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(5_000);
            socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
            int next = socket.getInputStream().read();
            while (next >= 0) {
                received.append((char) next);
                next = socket.getInputStream().read();
            }
        }
        return received.toString();
    }
}
