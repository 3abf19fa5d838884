package org.cassiabank.backend;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against uploads that go wrong because their bodies are large: a body that is held in memory twice, a body that
 * is cut off or mixed with the next request because the server answers before it has read all of it, and an upload that
 * is reported as not sent although the server has read a part.
 */
@Timeout(60)
class LargeRequestBodyTest {
    private final BackendClient client =
            BackendClient.create(new BackendClientSettings(500, 1_000_000, 4, 5_000, 2_000));
    private final ConcurrentLinkedQueue<Socket> sockets = new ConcurrentLinkedQueue<>();
    private ServerSocket listener;

    @BeforeEach
    void listen() throws IOException {
        listener = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
    }

    @AfterEach
    void closeAll() throws IOException {
        client.close();
        listener.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    @Test
    void aServerThatAnswersEarlyGetsTheRestOfTheBodyAndThenTheNextRequest() throws Exception {
        byte[] body = patternedBody(700_000);
        CompletableFuture<byte[]> receivedBody = new CompletableFuture<>();
        CompletableFuture<String> nextHead = new CompletableFuture<>();
        serveOneConnection(socket -> {
            InputStream input = socket.getInputStream();
            String head = readHead(input);
            respond(socket, head);
            TimeUnit.MILLISECONDS.sleep(300);
            receivedBody.complete(input.readNBytes(body.length));
            String next = readHead(input);
            nextHead.complete(next);
            respond(socket, next);
        });
        assertThat(client.send(upload(body, "id-1", 10_000))).isInstanceOf(ResponseReceived.class);
        assertThat(client.send(upload(new byte[0], "id-2", 10_000))).isInstanceOf(ResponseReceived.class);
        assertThat(Arrays.equals(receivedBody.get(5, TimeUnit.SECONDS), body)).isTrue();
        assertThat(nextHead.get(5, TimeUnit.SECONDS))
                .startsWith("POST /u HTTP/1.1")
                .contains("id-2");
    }

    @Test
    void anUploadOfWhichTheServerReadAPartMayHaveRun() throws Exception {
        serveOneConnection(socket -> {
            readHead(socket.getInputStream());
            socket.getInputStream().readNBytes(10_000);
            socket.setSoLinger(true, 0);
            socket.close();
        });
        assertThat(client.send(upload(patternedBody(2_000_000), "id-1", 10_000)))
                .isInstanceOf(NoValidResponse.class);
    }

    @Test
    void bodiesThatServersReadSlowlyAreNotCopied() throws Exception {
        int uploads = 20;
        byte[] body = patternedBody(12_000_000);
        CountDownLatch headsRead = new CountDownLatch(uploads);
        Thread.startVirtualThread(() -> acceptAndReadHeads(headsRead));
        long usedBefore = usedHeapBytes();
        List<BackendCall> calls = new ArrayList<>();
        for (int index = 0; index < uploads; index++) {
            BackendCall call = client.newCall(upload(body, "id-" + index, 30_000));
            calls.add(call);
            Thread.startVirtualThread(call::execute);
        }
        assertThat(headsRead.await(20, TimeUnit.SECONDS)).isTrue();
        TimeUnit.MILLISECONDS.sleep(500);
        long addedBytes = usedHeapBytes() - usedBefore;
        calls.forEach(BackendCall::cancel);
        // Copies of all bodies would take 240 MB; the buffers of the connections do not hold one of them.
        assertThat(addedBytes).isLessThan((long) uploads * body.length / 4);
    }

    private void acceptAndReadHeads(CountDownLatch headsRead) {
        try {
            while (true) {
                Socket socket = listener.accept();
                sockets.add(socket);
                Thread.startVirtualThread(() -> {
                    try {
                        readHead(socket.getInputStream());
                        headsRead.countDown();
                    } catch (IOException expected) {
                        // The client closed the connection.
                    }
                });
            }
        } catch (IOException expected) {
            // The listener was closed.
        }
    }

    private void serveOneConnection(ConnectionScript script) {
        Thread.startVirtualThread(() -> {
            try {
                Socket socket = listener.accept();
                sockets.add(socket);
                script.serve(socket);
            } catch (Exception expected) {
                // The client or the test closed the connection; the assertions notice what is missing.
            }
        });
    }

    private BackendRequest upload(byte[] body, String requestId, long timeoutMillis) {
        return BackendRequest.forAddress(
                "127.0.0.1:" + listener.getLocalPort(), "POST", "/u", Map.of(), body, requestId, false, timeoutMillis);
    }

    private static byte[] patternedBody(int length) {
        byte[] body = new byte[length];
        for (int index = 0; index < length; index++) {
            body[index] = (byte) (index * 31 + index / 251);
        }
        return body;
    }

    private static void respond(Socket socket, String head) throws IOException {
        String requestId = head.lines()
                .filter(line -> line.startsWith("Cassiabank-Request-Id: "))
                .findFirst()
                .orElseThrow();
        ScriptedServer.write(socket, "HTTP/1.1 200 OK\r\n" + requestId + "\r\nContent-Length: 2\r\n\r\nok");
    }

    private static String readHead(InputStream input) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = input.read();
            if (next < 0) {
                throw new IOException("connection ended");
            }
            head.append((char) next);
        }
        return head.toString();
    }

    private static long usedHeapBytes() {
        System.gc();
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    private interface ConnectionScript {
        void serve(Socket socket) throws Exception;
    }
}
