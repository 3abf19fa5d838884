package org.cassiabank.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.cassiabank.load.FreePorts;
import org.cassiabank.platform.StoreStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against attempts that fail before anything is sent, because of what an entry of the store or a caller says,
 * and that cost the caller its request or the fleet a slot. A server whose name cannot stand in a header stands for all
 * entries that nobody can send a request to.
 */
@Timeout(60)
class UnsendableAttemptTest {
    private static final String CONFIGURATION = """
            {"version":"00000005","resources":[
              {"resource_type":"services","metadata":{"name":"desk"},"spec":{}},
              {"resource_type":"routes","metadata":{"name":"r"},"spec":{"host":"desk.example","prefix":"/desk/",
               "kind":"idempotent","timeout":"2000ms","target_latency":"500ms","service":"desk","max_attempts":3,
               "priority":0}},
              {"resource_type":"routes","metadata":{"name":"o"},"spec":{"host":"desk.example","prefix":"/orders/",
               "kind":"non_idempotent","timeout":"2000ms","target_latency":"500ms","service":"desk","max_attempts":3,
               "priority":0}}]}
            """;

    private final StoreStandIn standIn = StoreStandIn.start();
    private final int port = FreePorts.nextPort();
    private ServerSocket backend;
    private ProxyDaemon daemon;

    @BeforeEach
    void startDaemon() throws IOException {
        backend = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Thread.startVirtualThread(this::acceptConnections);
        standIn.write("op/config", CONFIGURATION);
        writeServer("good", "127.0.0.1:" + backend.getLocalPort());
        daemon = ProxyDaemon.create(ProxySettingsParser.parse(
                "test", """
                name = "front"
                region = "r"
                failure-domain = "d"
                callers-address = "127.0.0.1:%d"
                peer-address = "127.0.0.1:%d"
                admin-address = "127.0.0.1:%d"
                store = "%s"
                platform-adapter = "kv"
                platform-bounds = "retry_budget_ratio=0.2,budget_slack=50,budget_window=10s,config=2000ms"
                claims = false
                drain-millis = 1
                longest-drain-millis = 500
                unrepeatable-idle-millis = 2000
                """.formatted(port, FreePorts.nextPort(), FreePorts.nextPort(), standIn.address())));
        daemon.start();
        await(() -> send("GET", "/desk/a", "first").startsWith("HTTP/1.1 200"));
    }

    @AfterEach
    void stopDaemon() throws IOException {
        daemon.close();
        backend.close();
        standIn.close();
    }

    @Test
    void requestsAreServedByOtherServersWhileSomeCannotBeSentTo() {
        for (String name : new String[] {"b\u00e9", "b\u0001d", "b\u4e16"}) {
            writeServer(name, "127.0.0.1:" + backend.getLocalPort());
        }
        LockSupport.parkNanos(TimeUnit.SECONDS.toNanos(2));
        for (int number = 0; number < 40; number++) {
            assertThat(send("GET", "/desk/a", "get-" + number)).startsWith("HTTP/1.1 200");
            assertThat(send("POST", "/orders/a", "post-" + number)).startsWith("HTTP/1.1 200");
        }
    }

    @Test
    void aRequestThatCannotBePassedOnIsRefusedAndOccupiesNoSlot() {
        for (int number = 0; number < 20; number++) {
            assertThat(send("GET", "/desk/a", "caf\u00e9-" + number))
                    .startsWith("HTTP/1.1 400")
                    .contains("Cassiabank-Outcome: not-run");
        }
        assertThat(send("GET", "/desk/a", "next")).startsWith("HTTP/1.1 200");
    }

    private void writeServer(String name, String address) {
        standIn.write("servers/" + name, """
                {"address":"%s","status":{"state":"ready"},
                 "info":{"service":"desk","version":"v1","zone":"d","slots":2}}
                """.formatted(address));
    }

    private String send(String method, String path, String requestId) {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(5_000);
            socket.getOutputStream()
                    .write((method + " " + path + " HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: " + requestId
                                    + "\r\nDeadline-Ms: 2000\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
                            .getBytes(StandardCharsets.ISO_8859_1));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        } catch (IOException exception) {
            return exception.toString();
        }
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

    private static void respondToRequests(Socket socket) {
        try (socket) {
            InputStream input = socket.getInputStream();
            StringBuilder head = new StringBuilder();
            int next = input.read();
            while (next >= 0) {
                head.append((char) next);
                if (head.toString().endsWith("\r\n\r\n")) {
                    String requestId = head.toString()
                            .lines()
                            .filter(line ->
                                    line.toLowerCase(java.util.Locale.ROOT).startsWith("request-id: "))
                            .findFirst()
                            .orElse("request-id: none")
                            .substring("request-id: ".length());
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

    private static void await(BooleanSupplier condition) {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (!condition.getAsBoolean()) {
            assertThat(System.nanoTime()).as("condition not met within 20 s").isLessThan(deadlineNanos);
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(50));
        }
    }
}
