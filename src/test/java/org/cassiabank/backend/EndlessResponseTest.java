package org.cassiabank.backend;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against backend servers that send bytes without end: in a status line, a header, interim responses, a chunk
 * line, a trailer or a body. Unbounded, one such response fills the heap of the daemon and stops all its threads.
 */
@Timeout(60)
class EndlessResponseTest {
    private static final int MAXIMUM_BODY_BYTES = 1_000_000;
    /** Ends the server's script if the client never closes the connection. */
    private static final long SERVER_GIVES_UP_BYTES = 64_000_000;

    private static final long MAXIMUM_HELD_BYTES = 4_000_000;

    private final BackendClient client = BackendClient.create(
            new BackendClientSettings(300, MAXIMUM_BODY_BYTES, 2, 100, 0),
            DefaultHeaderConventions.instance(),
            ResponseMemory.ofBytes(MAXIMUM_HELD_BYTES));
    private final List<AutoCloseable> resources = new ArrayList<>(List.of(client));

    @AfterEach
    void closeAll() throws Exception {
        for (AutoCloseable resource : resources.reversed()) {
            resource.close();
        }
    }

    @ParameterizedTest
    @CsvSource({
        "'HTTP/1.1 200 ', 'a'",
        "'HEAD', 'X-Long: aaaaaaaa'",
        "'HEAD', 'X-Many: a\r\n'",
        "'', 'HTTP/1.1 100 Continue\r\n\r\n'",
        "'', 'HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n'",
        "'HEADTransfer-Encoding: chunked\r\n\r\n5;', 'a'",
        "'HEADTransfer-Encoding: chunked\r\n\r\n', '0'",
        "'HEADTransfer-Encoding: chunked\r\n\r\n5', ' '",
        "'HEADTransfer-Encoding: chunked\r\n\r\n', '1;aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\nx\r\n'",
        "'HEADTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n', 'X-Trailer: a\r\n'",
        "'HEADTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nX-Trailer: ', 'a'",
        "'HEADTransfer-Encoding: chunked\r\n\r\n', '400\r\nBODY\r\n'",
        "'HEADConnection: close\r\n\r\n', 'a'"
    })
    void aResponseWithoutEndIsCutOffAfterABoundedNumberOfBytes(String start, String repeated) throws Exception {
        AtomicLong writtenBytes = new AtomicLong();
        ScriptedServer server = startServer((request, socket) -> {
            ScriptedServer.write(socket, start.replace("HEAD", request.responseHead(200)));
            writeWithoutEnd(socket, repeated.replace("BODY", "x".repeat(1_024)), writtenBytes);
        });
        long startNanos = System.nanoTime();
        BackendResult result = client.send(request(server.address(), 30_000));
        long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        assertThat(result).isInstanceOf(NoValidResponse.class);
        assertThat(elapsedMillis).isLessThan(10_000);
        assertThat(server.closedConnections.tryAcquire(5, TimeUnit.SECONDS)).isTrue();
        // The client reads at most nine times the body limit; socket buffers on both sides hold some megabytes more.
        assertThat(writtenBytes.get()).isLessThan(24_000_000);
    }

    @Test
    void aResponseThatTricklesInEndsWithTheTimeOfTheRequest() throws Exception {
        ScriptedServer server = startServer((request, socket) -> {
            ScriptedServer.write(socket, request.responseHead(200) + "Transfer-Encoding: chunked\r\n\r\n5;");
            for (int index = 0; index < 100; index++) {
                Thread.sleep(100);
                ScriptedServer.write(socket, "a");
            }
        });
        long startNanos = System.nanoTime();
        BackendResult result = client.send(request(server.address(), 600));
        assertThat(result).isInstanceOfSatisfying(NoValidResponse.class, invalid -> assertThat(invalid.reason())
                .isEqualTo(NoValidResponseReason.TIMEOUT));
        assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos))
                .isBetween(500L, 3_000L);
        assertThat(server.closedConnections.tryAcquire(5, TimeUnit.SECONDS)).isTrue();
    }

    /** Many responses that are within the limit of one response, but together exceed the memory. */
    @Test
    void theLargestResponsesAreCutOffWhenAllResponsesTogetherExceedTheMemory() throws Exception {
        ScriptedServer largeServer = startServer((request, socket) -> {
            ScriptedServer.write(socket, request.responseHead(200) + "Content-Length: 900000\r\n\r\n");
            ScriptedServer.write(socket, "x".repeat(890_000));
            Thread.sleep(3_000);
            ScriptedServer.write(socket, "x".repeat(10_000));
        });
        ScriptedServer smallServer = startServer(ScriptedServer.respondingWith("small"));
        List<CompletableFuture<BackendResult>> largeResponses = new ArrayList<>();
        for (int index = 0; index < 12; index++) {
            CompletableFuture<BackendResult> future = new CompletableFuture<>();
            Thread.startVirtualThread(() -> future.complete(client.send(request(largeServer.address(), 20_000))));
            largeResponses.add(future);
        }
        for (int index = 0; index < 200; index++) {
            assertThat(client.send(request(smallServer.address(), 5_000))).isInstanceOf(ResponseReceived.class);
        }
        long cutOff = 0;
        long whole = 0;
        for (CompletableFuture<BackendResult> future : largeResponses) {
            switch (future.get(30, TimeUnit.SECONDS)) {
                case ResponseReceived response -> whole++;
                case NoValidResponse invalid -> {
                    assertThat(invalid.reason()).isEqualTo(NoValidResponseReason.RESPONSE_TOO_LARGE);
                    cutOff++;
                }
                case BackendResult other -> throw new AssertionError(other);
            }
        }
        // Four of 900,000 bytes fit in the memory.
        assertThat(whole).isBetween(1L, 4L);
        assertThat(cutOff).isEqualTo(12 - whole);
        // All memory was returned, so the same number fits again.
        assertThat(client.send(request(largeServer.address(), 20_000))).isInstanceOf(ResponseReceived.class);
    }

    /** Short lines become objects of many times their bytes. */
    @ParameterizedTest
    @CsvSource({
        "'', 'a:b\n'",
        "'', 'a\n'",
        "'', 'X-Many: a\r\n'",
        "'Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n', 'a:b\n'",
        "'Transfer-Encoding: chunked\r\n\r\n00;x\r\n', 'a\n'"
    })
    void shortLinesThatNeverEndOccupyNoMoreThanTheMemory(String start, String line) throws Exception {
        int responseCount = 15;
        CountDownLatch allSent = new CountDownLatch(responseCount);
        CountDownLatch measured = new CountDownLatch(1);
        ScriptedServer server = startServer((request, socket) -> {
            try {
                ScriptedServer.write(socket, request.responseHead(200) + start + line.repeat(250_000 / line.length()));
            } finally {
                allSent.countDown();
                measured.await();
            }
        });
        long usedBefore = usedBytesAfterCollection();
        List<CompletableFuture<BackendResult>> results = new ArrayList<>();
        for (int index = 0; index < responseCount; index++) {
            CompletableFuture<BackendResult> future = new CompletableFuture<>();
            Thread.startVirtualThread(() -> future.complete(client.send(request(server.address(), 20_000))));
            results.add(future);
        }
        assertThat(allSent.await(20, TimeUnit.SECONDS)).isTrue();
        // The client reads what the operating system still holds.
        Thread.sleep(1_000);
        long usedBytes = usedBytesAfterCollection() - usedBefore;
        measured.countDown();
        assertThat(usedBytes).isLessThan(2 * MAXIMUM_HELD_BYTES);
        for (CompletableFuture<BackendResult> result : results) {
            assertThat(result.get(30, TimeUnit.SECONDS)).isInstanceOf(NoValidResponse.class);
        }
        ScriptedServer smallServer = startServer(ScriptedServer.respondingWith("small"));
        assertThat(client.send(request(smallServer.address(), 5_000))).isInstanceOf(ResponseReceived.class);
    }

    /** The server sends no more, so a client that accepted the lines would wait for the rest until its timeout. */
    @ParameterizedTest
    @CsvSource({
        "'HEAD', 'a:b\n'",
        "'', 'HTTP/1.1 100 Continue\r\n\r\n'",
        "'HEADTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n', 'a:b\n'"
    })
    void aResponseWithMoreLinesThanAHeadHasIsCutOffAtOnce(String start, String lines) throws Exception {
        ScriptedServer server = startServer((request, socket) -> ScriptedServer.write(
                socket,
                start.replace("HEAD", request.responseHead(200)) + lines.repeat(ResponseMeter.MAXIMUM_HEAD_LINES)));
        assertThat(client.send(request(server.address(), 10_000)))
                .isInstanceOfSatisfying(NoValidResponse.class, invalid -> assertThat(invalid.reason())
                        .isEqualTo(NoValidResponseReason.RESPONSE_TOO_LARGE));
        assertThat(server.closedConnections.tryAcquire(5, TimeUnit.SECONDS)).isTrue();
    }

    @ParameterizedTest
    @CsvSource({"'HTTP/1.1 200 '", "'HTTP/1.1 103 Early Hints\r\nLink: '"})
    void aLineBeforeTheFieldsOfAResponseIsCutOffAtAFractionOfTheBytesOutsideABody(String start) throws Exception {
        ScriptedServer server =
                startServer((request, socket) -> ScriptedServer.write(socket, start + "a".repeat(20_000)));
        assertThat(client.send(request(server.address(), 10_000)))
                .isInstanceOfSatisfying(NoValidResponse.class, invalid -> assertThat(invalid.reason())
                        .isEqualTo(NoValidResponseReason.RESPONSE_TOO_LARGE));
    }

    @Test
    void aResponseWithHundredsOfHeadersAndTrailersIsReceivedAndItsConnectionServesTheNextOne() throws Exception {
        ScriptedServer server = startServer((request, socket) -> ScriptedServer.write(
                socket,
                request.responseHead(200) + "X-Many: a\r\n".repeat(500) + "Transfer-Encoding: chunked\r\n\r\n"
                        + "5\r\nwhole\r\n0\r\n" + "X-Trailer: a\r\n".repeat(400) + "\r\n"));
        for (int number = 0; number < 3; number++) {
            BackendResult result = client.send(BackendRequest.forAddress(
                    server.address(), "GET", "/", Map.of(), new byte[0], "id-" + number, true, 10_000));
            assertThat(result).isInstanceOfSatisfying(ResponseReceived.class, response -> {
                assertThat(response.body()).asString().isEqualTo("whole");
                assertThat(response.headers().get("X-Many")).hasSize(500);
            });
        }
        assertThat(server.acceptedConnections).hasValue(1);
    }

    /** Each head occupies less than the sound response, so the sound one was the largest and was cut off. */
    @Test
    void aLargeSoundResponseIsReceivedBesideManyHeadsWithoutEnd() throws Exception {
        int headCount = 20;
        CountDownLatch headsSent = new CountDownLatch(headCount);
        CountDownLatch soundReceived = new CountDownLatch(1);
        ScriptedServer headServer = startServer((request, socket) -> {
            try {
                ScriptedServer.write(
                        socket, request.responseHead(200) + "a:b\n".repeat(2 * ResponseMeter.MAXIMUM_HEAD_LINES));
            } finally {
                headsSent.countDown();
                soundReceived.await();
            }
        });
        ScriptedServer soundServer = startServer(ScriptedServer.respondingWith("x".repeat(900_000)));
        for (int number = 0; number < headCount; number++) {
            Thread.startVirtualThread(() -> client.send(request(headServer.address(), 20_000)));
        }
        assertThat(headsSent.await(20, TimeUnit.SECONDS)).isTrue();
        // The client reads what the operating system still holds.
        Thread.sleep(1_000);
        BackendResult result = client.send(request(soundServer.address(), 10_000));
        soundReceived.countDown();
        assertThat(result).isInstanceOf(ResponseReceived.class);
    }

    private static long usedBytesAfterCollection() {
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    private ScriptedServer startServer(ScriptedServer.Script script) throws IOException {
        ScriptedServer server = new ScriptedServer(script);
        resources.add(server);
        return server;
    }

    private static BackendRequest request(String address, long timeoutMillis) {
        return BackendRequest.forAddress(address, "GET", "/", Map.of(), new byte[0], "id-1", true, timeoutMillis);
    }

    private static void writeWithoutEnd(Socket socket, String repeated, AtomicLong writtenBytes) throws IOException {
        byte[] block = repeated.repeat(Math.max(1, 65_536 / repeated.length())).getBytes(StandardCharsets.ISO_8859_1);
        OutputStream output = socket.getOutputStream();
        while (writtenBytes.get() < SERVER_GIVES_UP_BYTES) {
            output.write(block);
            writtenBytes.addAndGet(block.length);
        }
    }
}
