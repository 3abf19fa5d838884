package org.cassiabank.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.cassiabank.load.FreePorts;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against callers whose requests in flight take the memory of a daemon, each of them within its limits. */
@Timeout(120)
class CallerRequestMemoryTest {

    @ParameterizedTest
    @CsvSource({"4, 30", "150, 1"})
    void uploadsThatWaitDoNotTakeTheMemoryOfADaemon(int connections, int uploadsOfEach) throws Exception {
        Process process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xmx112m",
                        "-Xss256k",
                        "-XX:+UseSerialGC",
                        "-XX:+ExitOnOutOfMemoryError",
                        "-Djdk.virtualThreadScheduler.parallelism=1",
                        "-Dio.netty.noUnsafe=true",
                        "-cp",
                        System.getProperty("java.class.path"),
                        Server.class.getName(),
                        Integer.toString(connections),
                        Integer.toString(uploadsOfEach))
                .inheritIO()
                .start();
        assertThat(process.waitFor()).isZero();
    }

    /** Serves callers with the memory of the deployed daemon; its exit code is 0 unless that runs out. */
    static final class Server {
        private static final byte[] BODY = new byte[CallerLimits.defaults().bodyBytes()];
        private static final int HANDLER_SECONDS = 60;
        private static final int UPLOAD_SECONDS = 10;

        private Server() {}

        public static void main(String[] arguments) throws Exception {
            int connections = Integer.parseInt(arguments[0]);
            int uploadsOfEach = Integer.parseInt(arguments[1]);
            int port = FreePorts.nextPort();
            CallerServer.create(CallerLimits.defaults(), Server::replyLate, ProxyMetrics.create())
                    .start(new HostAndPort("127.0.0.1", port), Optional.empty());
            CountDownLatch uploading = new CountDownLatch(connections);
            for (int number = 0; number < connections; number++) {
                Thread.ofPlatform().daemon().start(() -> upload(port, uploadsOfEach, uploading));
            }
            boolean ignoredAllUploaded = uploading.await(UPLOAD_SECONDS, TimeUnit.SECONDS);
            // What has arrived last is still being read.
            TimeUnit.SECONDS.sleep(1);
            Runtime.getRuntime().halt(0);
        }

        /** Uploads to a server that may also refuse, or leave bytes unread. */
        private static void upload(int port, int count, CountDownLatch uploading) {
            try (Socket socket = new Socket("127.0.0.1", port)) {
                OutputStream output = socket.getOutputStream();
                for (int number = 0; number < count; number++) {
                    output.write(("POST /upload HTTP/1.1\r\nHost: a\r\nContent-Length: " + BODY.length + "\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
                    output.write(BODY);
                }
                uploading.countDown();
                socket.getInputStream().readAllBytes();
            } catch (IOException expected) {
                uploading.countDown();
            }
        }

        private static CallerReply replyLate(CallerRequest request, CallerPresence presence) {
            try {
                TimeUnit.SECONDS.sleep(HANDLER_SECONDS);
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
            }
            return CallerReply.unknown("late");
        }
    }
}
