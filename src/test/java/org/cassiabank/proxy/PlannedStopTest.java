package org.cassiabank.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.cassiabank.load.FreePorts;
import org.cassiabank.platform.StoreStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against requests that a daemon takes late in a planned stop, passes on and cuts off at its end, among them
 * requests that must not be repeated.
 */
@Timeout(60)
class PlannedStopTest {
    private static final String CONFIGURATION = """
            {"version":"00000005","resources":[
              {"resource_type":"services","metadata":{"name":"desk"},"spec":{}},
              {"resource_type":"routes","metadata":{"name":"r"},"spec":{"host":"desk.example","prefix":"/long/",
               "kind":"idempotent","timeout":"5000ms","target_latency":"1500ms","service":"desk","max_attempts":3,
               "priority":0}},
              {"resource_type":"routes","metadata":{"name":"s"},"spec":{"host":"desk.example","prefix":"/short/",
               "kind":"idempotent","timeout":"5000ms","target_latency":"1500ms","service":"desk","max_attempts":3,
               "priority":0}},
              {"resource_type":"routes","metadata":{"name":"o"},"spec":{"host":"desk.example","prefix":"/orders/",
               "kind":"non_idempotent","timeout":"5000ms","target_latency":"1500ms","service":"desk","max_attempts":3,
               "priority":0}}]}
            """;

    /** The platform kills a process this long after the signal; the daemon ends 700 ms earlier. */
    private static final int GRACE_MILLIS = 3_500;

    private static final int LONG_WORK_MILLIS = 1_200;
    private static final int SLOTS = 2;

    private final StoreStandIn standIn = StoreStandIn.start();
    private final int port = FreePorts.nextPort();
    private final List<String> receivedPaths = new CopyOnWriteArrayList<>();
    private ServerSocket backend;
    private ProxyDaemon daemon;
    private CompletableFuture<Void> stopped = CompletableFuture.completedFuture(null);

    @BeforeEach
    void startDaemon() throws IOException {
        backend = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Thread.startVirtualThread(this::acceptConnections);
        standIn.write("op/config", CONFIGURATION);
        standIn.write("servers/a", """
                {"address":"127.0.0.1:%d","status":{"state":"ready"},
                 "info":{"service":"desk","version":"v1","zone":"d","slots":%d}}
                """.formatted(backend.getLocalPort(), SLOTS));
        daemon = ProxyDaemon.create(ProxySettingsParser.parse("test", """
                name = "front"
                region = "r"
                failure-domain = "d"
                callers-address = "127.0.0.1:%d"
                peer-address = "127.0.0.1:%d"
                admin-address = "127.0.0.1:%d"
                store = "%s"
                platform-adapter = "kv"
                platform-bounds = "retry_budget_ratio=0.2,budget_slack=50,budget_window=10s,config=2000ms,grace=%dms"
                claims = false
                separate-long-work = false
                drain-millis = 500
                longest-drain-millis = 2800
                unrepeatable-idle-millis = 2000
                """.formatted(
                        port, FreePorts.nextPort(), FreePorts.nextPort(), standIn.address(), GRACE_MILLIS)));
        daemon.start();
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (!send("GET", "/short/10").startsWith("HTTP/1.1 200")) {
            assertThat(System.nanoTime()).isLessThan(deadlineNanos);
        }
        for (int number = 0; number < 10; number++) {
            assertThat(send("GET", "/short/10")).startsWith("HTTP/1.1 200");
        }
        receivedPaths.clear();
    }

    @AfterEach
    void stopDaemon() throws IOException {
        stopped.join();
        daemon.close();
        backend.close();
        standIn.close();
    }

    @ParameterizedTest
    @ValueSource(strings = {"GET /long/", "POST /orders/"})
    void aRequestWhoseLastByteComesTooLateIsRefusedAndNotPassedOn(String start) throws IOException {
        String[] startLine = start.split(" ");
        String head = head(startLine[0], startLine[1] + LONG_WORK_MILLIS);
        try (Socket socket = connect()) {
            socket.getOutputStream().write(head.substring(0, 20).getBytes(StandardCharsets.ISO_8859_1));
            beginStop();
            sleepMillis(1_800);
            socket.getOutputStream().write(head.substring(20).getBytes(StandardCharsets.ISO_8859_1));
            assertThat(readAll(socket))
                    .startsWith("HTTP/1.1 503")
                    .contains("stopping")
                    .contains("Retry-After");
        }
        stopped.join();
        assertThat(receivedPaths).isEmpty();
    }

    @Test
    void aRequestThatFitsIntoTheRestOfTheStopIsServed() throws IOException {
        String head = head("GET", "/short/10");
        try (Socket socket = connect()) {
            socket.getOutputStream().write(head.substring(0, 20).getBytes(StandardCharsets.ISO_8859_1));
            beginStop();
            sleepMillis(1_800);
            socket.getOutputStream().write(head.substring(20).getBytes(StandardCharsets.ISO_8859_1));
            assertThat(readAll(socket)).startsWith("HTTP/1.1 200");
        }
    }

    @Test
    void requestsThatWaitForASlotAreRefusedOnceTheyCannotEndInTime() throws Exception {
        List<CompletableFuture<String>> replies = new CopyOnWriteArrayList<>();
        for (int number = 0; number < SLOTS; number++) {
            replies.add(CompletableFuture.supplyAsync(() -> send("POST", "/orders/2100")));
        }
        sleepMillis(200);
        CompletableFuture<String> waiting = CompletableFuture.supplyAsync(() -> send("POST", "/orders/100"));
        sleepMillis(100);
        beginStop();
        assertThat(waiting.get(3, TimeUnit.SECONDS)).startsWith("HTTP/1.1 503").contains("stopping");
        for (CompletableFuture<String> reply : replies) {
            assertThat(reply.get(3, TimeUnit.SECONDS)).startsWith("HTTP/1.1 200");
        }
        assertThat(receivedPaths).hasSize(SLOTS);
    }

    @Test
    void aRequestThatIsStillAtItsServerAtTheEndGetsAReplyOfUnknownOutcome() throws Exception {
        CompletableFuture<String> reply = CompletableFuture.supplyAsync(() -> send("POST", "/orders/4500"));
        sleepMillis(200);
        beginStop();
        assertThat(reply.get(5, TimeUnit.SECONDS)).startsWith("HTTP/1.1 504").contains("Cassiabank-Outcome: unknown");
        stopped.get(2, TimeUnit.SECONDS);
    }

    private void beginStop() {
        stopped = CompletableFuture.runAsync(daemon::close);
    }

    private String send(String method, String path) {
        try (Socket socket = connect()) {
            socket.getOutputStream().write(head(method, path).getBytes(StandardCharsets.ISO_8859_1));
            return readAll(socket);
        } catch (IOException exception) {
            return exception.toString();
        }
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket("127.0.0.1", port);
        socket.setSoTimeout(8_000);
        return socket;
    }

    private static String head(String method, String path) {
        return method + " " + path + " HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: id-" + System.nanoTime()
                + "\r\nDeadline-Ms: 5000\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
    }

    private static String readAll(Socket socket) throws IOException {
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }

    private void acceptConnections() {
        try {
            while (true) {
                Socket socket = backend.accept();
                Thread.startVirtualThread(() -> respondToRequests(socket));
            }
        } catch (IOException expected) {
            // The listener was closed.
        }
    }

    /** Works for as many milliseconds as the last part of the path says. */
    private void respondToRequests(Socket socket) {
        try (socket) {
            InputStream input = socket.getInputStream();
            StringBuilder head = new StringBuilder();
            int next = input.read();
            while (next >= 0) {
                head.append((char) next);
                if (head.toString().endsWith("\r\n\r\n")) {
                    String path = head.toString().split(" ")[1];
                    receivedPaths.add(path);
                    String requestId = head.toString()
                            .lines()
                            .filter(line -> line.toLowerCase(Locale.ROOT).startsWith("request-id: "))
                            .findFirst()
                            .orElse("request-id: none")
                            .substring("request-id: ".length());
                    sleepMillis(Long.parseLong(path.substring(path.lastIndexOf('/') + 1)));
                    socket.getOutputStream()
                            .write(("HTTP/1.1 200 OK\r\nRequest-Id: " + requestId
                                            + "\r\nResponse-Seal: s\r\nContent-Length: 2\r\n\r\nok")
                                    .getBytes(StandardCharsets.ISO_8859_1));
                    head.setLength(0);
                }
                next = input.read();
            }
        } catch (IOException expected) {
            // The daemon closed the connection.
        }
    }

    private static void sleepMillis(long millis) {
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(millis));
    }
}
