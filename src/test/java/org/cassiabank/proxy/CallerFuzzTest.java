package org.cassiabank.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.Tuple;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.BeforeContainer;

/**
 * Guards against bytes of a caller that get replies out of order, more replies than requests, a reply after a refusal,
 * or that keep the daemon from answering the next caller. The bytes are valid requests and fragments in any order.
 */
class CallerFuzzTest {
    private static final CallerLimits LIMITS = new CallerLimits(100, 100, 1_024, 100, 1_000, 150, 200);
    private static final List<String> WHOLE_REQUESTS = List.of(
            "GET /# HTTP/1.1\r\nHost: x\r\n\r\n",
            "POST /# HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc",
            "POST /# HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
            "POST /# HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\nabc");

    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.1 (\\d{3}) ");
    private static final Pattern HANDLED_PATH = Pattern.compile("handled=(\\d+)");
    private static final CallerServer SERVER =
            CallerServer.create(LIMITS, CallerFuzzTest::replyTo, ProxyMetrics.create());
    private static int port;

    @BeforeContainer
    static void startServer() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            port = socket.getLocalPort();
        }
        SERVER.start(new HostAndPort("127.0.0.1", port), Optional.empty());
    }

    @AfterContainer
    static void stopServer() {
        SERVER.close();
    }

    @Provide
    Arbitrary<List<String>> requestsAndFragments() {
        Arbitrary<String> wholeRequests = Arbitraries.of(WHOLE_REQUESTS);
        Arbitrary<String> otherFragments = Arbitraries.of(
                "POST /# HTTP/1.1\r\nHost: x\r\nContent-Length: 101\r\n\r\n" + "z".repeat(101),
                "GET /# HTTP/1.1\r\n\r\n",
                "GET /# HTTP/1.1\r\nHost: a b\r\n\r\n",
                "GET /# HTTP/1.1\r\nHost: x\r\nA: " + "a".repeat(2_000) + "\r\n\r\n",
                "POST /# HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
                "GET /# HTTP/1.1\r\nHost: x",
                "\u0000\u0001\u00ff\r\n\r\n",
                "\r\n",
                "3\r\n");
        return Arbitraries.frequencyOf(Tuple.of(2, wholeRequests), Tuple.of(1, otherFragments))
                .list()
                .ofMinSize(1)
                .ofMaxSize(6);
    }

    @Property(tries = 200, shrinking = ShrinkingMode.OFF)
    void repliesComeInOrderEndWithARefusalAndLeaveTheDaemonServing(
            @ForAll("requestsAndFragments") List<String> fragments) throws IOException {
        StringBuilder bytes = new StringBuilder();
        for (int number = 0; number < fragments.size(); number++) {
            bytes.append(fragments.get(number).replace("#", Integer.toString(number)));
        }
        String replies = exchange(bytes.toString());
        List<Integer> handled = HANDLED_PATH
                .matcher(replies)
                .results()
                .map(match -> Integer.valueOf(match.group(1)))
                .toList();
        assertThat(handled).isSorted().doesNotHaveDuplicates();
        for (int number = 0; number < fragments.size() && isWholeRequest(fragments.get(number)); number++) {
            assertThat(handled).contains(number);
        }
        List<String> statuses =
                STATUS_LINE.matcher(replies).results().map(MatchResult::group).toList();
        assertThat(statuses).hasSizeLessThanOrEqualTo(2 * fragments.size() + 1);
        long refusals = statuses.stream()
                .filter(status -> status.startsWith("HTTP/1.1 4"))
                .count();
        assertThat(refusals).isLessThanOrEqualTo(1);
        if (refusals == 1) {
            assertThat(statuses.getLast()).startsWith("HTTP/1.1 4");
            assertThat(replies).contains("Cassiabank-Outcome: not-run");
        }
        assertThat(exchange("GET /7 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"))
                .contains("handled=7");
    }

    /** Takes some milliseconds, so that a refusal of a later request is ready before the reply. */
    private static CallerReply replyTo(CallerRequest request, CallerPresence presence) {
        try {
            TimeUnit.MILLISECONDS.sleep(5);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
        return CallerReply.answered(
                200, Map.of(), ("handled=" + request.path().substring(1)).getBytes(StandardCharsets.UTF_8));
    }

    private static boolean isWholeRequest(String fragment) {
        return WHOLE_REQUESTS.contains(fragment);
    }

    /** Sends all bytes and returns what arrives until the connection ends. */
    private static String exchange(String bytes) throws IOException {
        StringBuilder received = new StringBuilder();
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(5_000);
            socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
            InputStream input = socket.getInputStream();
            int next = input.read();
            while (next >= 0) {
                received.append((char) next);
                next = input.read();
            }
        } catch (SocketTimeoutException exception) {
            throw new AssertionError("the connection neither answered nor ended: " + received, exception);
        } catch (IOException ignored) {
            // The server closes after a refusal; unread bytes still on the way make that a connection reset.
        }
        return received.toString();
    }
}
