package org.cassiabank.backend;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards the requests to sound servers against servers that send bytes without end to the same client. The deployed
 * daemon has one carrier thread, so the client runs in a process that has one too.
 */
@Timeout(120)
class SoundResponsesBesideEndlessTest {
    private static final int ENDLESS_REQUEST_COUNT = 30;
    private static final int SOUND_REQUEST_COUNT = 10;
    /** The time that each request has; a sound server answers at once. */
    private static final long TIMEOUT_MILLIS = 5_000;

    private static final long ENDLESS_TIMEOUT_MILLIS = 60_000;
    /** A caller whose request failed waits before it sends the next one. */
    private static final long THINK_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private static final long WARM_UP_MILLIS = 1_000;

    @ParameterizedTest
    @CsvSource({
        "'', 'a:b\n'",
        "'Transfer-Encoding: chunked\r\n\r\n', '4\r\nbody\r\n'",
        "'Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n', 'a:b\n'",
        "'Content-Length: 9000000000000\r\n\r\n', 'a'"
    })
    void soundServersAreHeardInTimeWhileManyOthersSendWithoutEnd(String start, String repeated) throws Exception {
        try (ScriptedServer endlessServer = new ScriptedServer((request, socket) -> {
                    ScriptedServer.write(socket, request.responseHead(200) + start);
                    writeWithoutEnd(socket, repeated);
                });
                ScriptedServer soundServer = new ScriptedServer(ScriptedServer.respondingWith("sound"))) {
            Process process = new ProcessBuilder(
                            Path.of(System.getProperty("java.home"), "bin", "java")
                                    .toString(),
                            "-Djdk.virtualThreadScheduler.parallelism=1",
                            "-cp",
                            System.getProperty("java.class.path"),
                            OneCarrier.class.getName(),
                            endlessServer.address(),
                            soundServer.address())
                    .inheritIO()
                    .start();
            try {
                assertThat(process.waitFor()).isZero();
                assertThat(endlessServer.acceptedConnections).hasValueGreaterThanOrEqualTo(ENDLESS_REQUEST_COUNT);
            } finally {
                process.destroyForcibly();
            }
        }
    }

    private static void writeWithoutEnd(Socket socket, String repeated) throws IOException {
        byte[] block = repeated.repeat(65_536 / repeated.length()).getBytes(StandardCharsets.ISO_8859_1);
        OutputStream output = socket.getOutputStream();
        while (!socket.isClosed()) {
            output.write(block);
        }
    }

    /** A process with one carrier thread; its exit code is the number of sound servers that were not heard in time. */
    static final class OneCarrier {
        private OneCarrier() {}

        public static void main(String[] arguments) throws InterruptedException {
            String endlessAddress = arguments[0];
            String soundAddress = arguments[1];
            BackendClient client = BackendClient.create(BackendClientSettings.defaults());
            for (int number = 0; number < ENDLESS_REQUEST_COUNT; number++) {
                Thread.startVirtualThread(() -> {
                    while (true) {
                        send(client, endlessAddress, ENDLESS_TIMEOUT_MILLIS);
                        LockSupport.parkNanos(THINK_NANOS);
                    }
                });
            }
            TimeUnit.MILLISECONDS.sleep(WARM_UP_MILLIS);
            int lateCount = 0;
            for (int number = 0; number < SOUND_REQUEST_COUNT; number++) {
                CompletableFuture<BackendResult> result = new CompletableFuture<>();
                Thread.startVirtualThread(() -> result.complete(send(client, soundAddress, TIMEOUT_MILLIS)));
                lateCount += isHeardInTime(result) ? 0 : 1;
            }
            Runtime.getRuntime().halt(lateCount);
        }

        private static boolean isHeardInTime(CompletableFuture<BackendResult> result) throws InterruptedException {
            try {
                return result.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS) instanceof ResponseReceived;
            } catch (ExecutionException | TimeoutException exception) {
                return false;
            }
        }

        private static BackendResult send(BackendClient client, String address, long timeoutMillis) {
            return client.send(
                    BackendRequest.forAddress(address, "GET", "/", Map.of(), new byte[0], "id-1", true, timeoutMillis));
        }
    }
}
