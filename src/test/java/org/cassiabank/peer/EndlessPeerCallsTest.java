package org.cassiabank.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.lang.reflect.Proxy;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.protocol.TMessage;
import org.apache.thrift.protocol.TMessageType;
import org.apache.thrift.transport.TMemoryBuffer;
import org.cassiabank.load.FreePorts;
import org.cassiabank.peer.generated.Peer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against peers whose calls never run out and that keep the carrier thread from all other requests. */
@Timeout(120)
class EndlessPeerCallsTest {

    /** The deployed daemon has one carrier thread. */
    @Test
    void otherThreadsRunWhilePeersSendCallsWithoutEnd() throws IOException, InterruptedException {
        Process process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Djdk.virtualThreadScheduler.parallelism=1",
                        "-cp",
                        System.getProperty("java.class.path"),
                        OneCarrier.class.getName())
                .inheritIO()
                .start();
        assertThat(process.waitFor()).isZero();
    }

    /** Serves two peers that do not wait for replies; its exit code is 0 if other threads run beside them. */
    static final class OneCarrier {
        private static final int CALLS_PER_WRITE = 2_000;
        private static final int OTHER_THREADS = 20;

        private OneCarrier() {}

        public static void main(String[] arguments) throws Exception {
            int port = FreePorts.nextPort();
            CountDownLatch served = new CountDownLatch(1);
            PeerServer.start("127.0.0.1", port, PeerSocketFactories.plain(), handler(served));
            byte[] calls = calls();
            for (int number = 0; number < 2; number++) {
                Thread.ofPlatform().daemon().start(() -> callWithoutEnd(port, calls));
            }
            served.await();
            long slowestMillis = 0;
            for (int number = 0; number < OTHER_THREADS; number++) {
                CountDownLatch otherHasRun = new CountDownLatch(1);
                long startNanos = System.nanoTime();
                Thread.startVirtualThread(otherHasRun::countDown);
                if (!otherHasRun.await(10, TimeUnit.SECONDS)) {
                    System.out.println("another thread did not run within 10 s");
                    Runtime.getRuntime().halt(1);
                }
                slowestMillis = Math.max(slowestMillis, TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos));
                TimeUnit.MILLISECONDS.sleep(100);
            }
            System.out.println("the slowest of " + OTHER_THREADS + " threads started after " + slowestMillis + " ms");
            Runtime.getRuntime().halt(0);
        }

        private static Peer.Iface handler(CountDownLatch served) {
            return (Peer.Iface) Proxy.newProxyInstance(
                    Peer.Iface.class.getClassLoader(),
                    new Class<?>[] {Peer.Iface.class},
                    (proxy, method, arguments) -> {
                        served.countDown();
                        return List.of();
                    });
        }

        private static byte[] calls() throws TException {
            TMemoryBuffer buffer = new TMemoryBuffer(64);
            TCompactProtocol protocol = new TCompactProtocol(buffer);
            protocol.writeMessageBegin(new TMessage("suspects", TMessageType.CALL, 1));
            new Peer.suspects_args("service").write(protocol);
            protocol.writeMessageEnd();
            ByteBuffer calls = ByteBuffer.allocate(CALLS_PER_WRITE * (Integer.BYTES + buffer.length()));
            while (calls.hasRemaining()) {
                calls.putInt(buffer.length()).put(buffer.getArray(), 0, buffer.length());
            }
            return calls.array();
        }

        /** Opens a connection again whenever it is closed. */
        private static void callWithoutEnd(int port, byte[] calls) {
            while (true) {
                try (Socket socket = new Socket("127.0.0.1", port)) {
                    InputStream replies = socket.getInputStream();
                    Thread.ofPlatform().daemon().start(() -> readAll(replies));
                    OutputStream output = socket.getOutputStream();
                    while (true) {
                        output.write(calls);
                    }
                } catch (IOException expected) {
                    // The server closed the connection.
                }
            }
        }

        private static void readAll(InputStream replies) {
            byte[] ignored = new byte[65_536];
            try {
                while (replies.read(ignored) >= 0) {
                    // The replies are not of interest.
                }
            } catch (IOException expected) {
                // The server closed the connection.
            }
        }
    }
}
