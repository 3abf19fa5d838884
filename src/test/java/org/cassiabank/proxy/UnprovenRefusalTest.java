package org.cassiabank.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;
import org.cassiabank.backend.ScriptedServer;
import org.cassiabank.load.FreePorts;
import org.cassiabank.platform.StoreStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a server's failure after it ran a request that callers take for the promise that it has not run, and
 * send again: its status says so, but no header proves it.
 */
@Timeout(90)
class UnprovenRefusalTest {
    private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);
    private static final int SERVERS = 3;
    /** More than a daemon without an owner repeats. */
    private static final int REPEATED_IN_A_ROW = 12;

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
    private final List<ScriptedServer> servers = new ArrayList<>();
    private final Map<String, AtomicInteger> runsById = new ConcurrentHashMap<>();
    private volatile Behaviour behaviour = (server, id) -> Answer.SUCCESS;
    private ProxyDaemon daemon;

    @BeforeEach
    void startDaemon() throws IOException {
        standIn.write("op/config", CONFIGURATION);
        for (int number = 0; number < SERVERS; number++) {
            int serverNumber = number;
            ScriptedServer server = new ScriptedServer((request, socket) -> respond(serverNumber, request, socket));
            servers.add(server);
            standIn.write("servers/s" + number, """
                    {"address":"%s","status":{"state":"ready"},
                     "info":{"service":"desk","version":"v1","zone":"d","slots":2}}
                    """.formatted(server.address()));
        }
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
                platform-bounds = "retry_budget_ratio=0.2,budget_slack=500,budget_window=10s,config=2000ms"
                claims = false
                drain-millis = 1
                longest-drain-millis = 500
                unrepeatable-idle-millis = 2000
                """.formatted(port, FreePorts.nextPort(), FreePorts.nextPort(), standIn.address())));
        daemon.start();
        await(() -> send("GET", "/desk/a", "first").startsWith("HTTP/1.1 200"));
        // Until the daemon has registered it is no owner of slots and repeats few requests.
        Set<String> refusedOnce = ConcurrentHashMap.newKeySet();
        behaviour = (server, id) -> refusedOnce.add(id) ? Answer.REFUSAL : Answer.SUCCESS;
        AtomicInteger number = new AtomicInteger();
        await(() -> IntStream.range(0, REPEATED_IN_A_ROW)
                .allMatch(index -> send("POST", "/orders/a", "warm-up-" + number.incrementAndGet())
                        .startsWith("HTTP/1.1 200")));
        behaviour = (server, id) -> Answer.SUCCESS;
    }

    @AfterEach
    void stopDaemon() throws IOException {
        daemon.close();
        for (ScriptedServer server : servers) {
            server.close();
        }
        standIn.close();
    }

    /** Orders that an upstream had run were answered 503 and ordered again. */
    @ParameterizedTest
    @CsvSource({"503, true", "503, false", "408, true", "429, false"})
    void anOrderThatMayHaveRunIsNotAnsweredWithAPromise(int status, boolean sealed) {
        behaviour = (server, id) -> new Answer(status, sealed ? "Response-Seal: s\r\nRetry-After: 9\r\n" : "", true);
        String reply = send("POST", "/orders/a", "order");
        assertThat(runsById.get("order")).hasValue(1);
        assertThat(reply)
                .startsWith("HTTP/1.1 502")
                .contains("Cassiabank-Outcome: unknown", "Cassiabank-Reason: unproven-refusal")
                .doesNotContain("Response-Seal", "Retry-After", "of a server");
    }

    @Test
    void aRepeatableRequestIsServedElsewhere() {
        behaviour = (server, id) -> server == 0 ? new Answer(503, "Response-Seal: s\r\n", true) : Answer.SUCCESS;
        for (int number = 0; number < 20; number++) {
            assertThat(send("GET", "/desk/a", "get-" + number)).startsWith("HTTP/1.1 200");
        }
    }

    @Test
    void aRepeatableRequestThatAllServersFailGetsTheResponseOfOne() {
        behaviour = (server, id) -> new Answer(503, "Response-Seal: s\r\nRetry-After: 9\r\n", true);
        assertThat(send("GET", "/desk/a", "get"))
                .startsWith("HTTP/1.1 503")
                .contains("Cassiabank-Outcome: answered", "Response-Seal: s", "of a server")
                .doesNotContain("Retry-After");
    }

    @ParameterizedTest
    @ValueSource(ints = {500, 504})
    void aFailureThatPromisesNothingIsPassedOnUnchanged(int status) {
        behaviour = (server, id) -> new Answer(status, "Response-Seal: s\r\n", true);
        assertThat(send("POST", "/orders/a", "order"))
                .startsWith("HTTP/1.1 " + status)
                .contains("Cassiabank-Outcome: answered", "Response-Seal: s", "of a server");
    }

    @Test
    void aProvenRefusalIsRepeatedElsewhere() {
        behaviour = (server, id) -> server == 0 ? Answer.REFUSAL : Answer.SUCCESS;
        for (int number = 0; number < 20; number++) {
            assertThat(send("POST", "/orders/a", "order-" + number)).startsWith("HTTP/1.1 200");
            assertThat(runsById.get("order-" + number)).hasValue(1);
        }
    }

    /** Plays random answers, breaks and refusals of all servers; the seed of a failure is in its message. */
    @Test
    void whateverServersAnswerNoPromiseIsFalseAndNoOrderRunsTwice() {
        long seed = System.nanoTime();
        Random random = new Random(seed);
        Answer[] answers = {
            Answer.SUCCESS,
            Answer.SUCCESS,
            Answer.SUCCESS,
            Answer.REFUSAL,
            Answer.BROKEN,
            new Answer(500, "Response-Seal: s\r\n", true),
            new Answer(503, "Response-Seal: s\r\n", true),
            new Answer(503, "", true),
            new Answer(429, "Retry-After: 1\r\n", true),
            new Answer(408, "", true),
            new Answer(421, "Not-Executed: 1\r\n", false)
        };
        behaviour = (server, id) -> {
            synchronized (random) {
                return answers[random.nextInt(answers.length)];
            }
        };
        int promises = 0;
        for (int number = 0; number < 400; number++) {
            boolean order = number % 2 == 0;
            String id = "request-" + number;
            String reply = send(order ? "POST" : "GET", order ? "/orders/a" : "/desk/a", id);
            int runs = runsById.getOrDefault(id, new AtomicInteger()).get();
            boolean promise = PROMISES.contains(Integer.parseInt(reply.substring(9, 12)));
            if (order) {
                assertThat(runs).as("runs of %s, seed %d: %s", id, seed, reply).isLessThanOrEqualTo(1);
            }
            if (promise && (order || reply.contains("Cassiabank-Outcome: not-run"))) {
                promises++;
                assertThat(runs).as("runs of %s, seed %d: %s", id, seed, reply).isZero();
            }
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(5));
        }
        assertThat(promises).as("true promises, seed %d", seed).isPositive();
    }

    private void respond(int server, ScriptedServer.ReceivedRequest request, Socket socket) throws IOException {
        String id = request.header("Request-Id");
        Answer answer = behaviour.answer(server, id);
        if (answer.runs()) {
            runsById.computeIfAbsent(id, key -> new AtomicInteger()).incrementAndGet();
        }
        if (answer.equals(Answer.BROKEN)) {
            socket.setSoLinger(true, 0);
            socket.close();
            return;
        }
        String body = "of a server";
        ScriptedServer.write(
                socket,
                "HTTP/1.1 " + answer.status() + " Text\r\nRequest-Id: " + id + "\r\n" + answer.headers()
                        + "Content-Length: " + body.length() + "\r\n\r\n" + body);
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

    private static void await(BooleanSupplier condition) {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (!condition.getAsBoolean()) {
            assertThat(System.nanoTime()).as("condition not met within 20 s").isLessThan(deadlineNanos);
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(50));
        }
    }

    private interface Behaviour {
        Answer answer(int server, String requestId);
    }

    /**
     * What a server does with a request.
     *
     * @param status the status of its response
     * @param headers further headers, each with its line end
     * @param runs whether it runs the request
     */
    private record Answer(int status, String headers, boolean runs) {
        static final Answer SUCCESS = new Answer(200, "Response-Seal: s\r\n", true);
        static final Answer REFUSAL = new Answer(503, "Not-Executed: 1\r\n", false);
        static final Answer BROKEN = new Answer(0, "", true);
    }
}
