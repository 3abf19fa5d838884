package org.cassiabank.peer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.DataInputStream;
import java.io.IOException;
import java.lang.reflect.Proxy;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.protocol.TMessage;
import org.apache.thrift.protocol.TMessageType;
import org.apache.thrift.transport.TMemoryBuffer;
import org.cassiabank.kernel.CassiabankException;
import org.cassiabank.load.FreePorts;
import org.cassiabank.membership.Instance;
import org.cassiabank.membership.InstanceRole;
import org.cassiabank.membership.InstanceState;
import org.cassiabank.peer.generated.Peer;
import org.cassiabank.peer.generated.Suspect;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against taking the reply of a peer, or a part of one, for the reply to another call, and against carrying out
 * what stands behind a call.
 */
@Timeout(60)
class PeerReplyBoundaryTest {
    private static final int TIMEOUT_MILLIS = 2_000;

    private final PeerClientPool pool =
            PeerClientPool.create(PeerSocketFactories.plain(), ControlTrafficRecorder.noOp());

    @AfterEach
    void closePool() {
        pool.close();
    }

    /** What a peer sends behind its reply to the first call of a connection. */
    enum Addition {
        COPY {
            @Override
            byte[] toBytes(byte[] reply) throws TException {
                return concatenate(frame(reply), frame(reply));
            }
        },
        COPY_IN_THE_SAME_FRAME {
            @Override
            byte[] toBytes(byte[] reply) {
                return frame(concatenate(reply, reply));
            }
        },
        REPLY_TO_THE_NEXT_CALL {
            @Override
            byte[] toBytes(byte[] reply) throws TException {
                return concatenate(frame(reply), frame(forgedReply()));
            }
        },
        REPLY_TO_THE_NEXT_CALL_IN_THE_SAME_FRAME {
            @Override
            byte[] toBytes(byte[] reply) throws TException {
                return frame(concatenate(reply, forgedReply()));
            }
        };

        abstract byte[] toBytes(byte[] reply) throws TException;
    }

    @ParameterizedTest
    @EnumSource(Addition.class)
    void whatFollowsAReplyIsNotTheReplyToTheNextCall(Addition addition) throws Exception {
        AtomicInteger calls = new AtomicInteger();
        try (RawPeer peer = new RawPeer((reply, socket) -> {
            boolean first = calls.incrementAndGet() == 1;
            socket.getOutputStream().write(first ? addition.toBytes(reply) : frame(reply));
        })) {
            for (String service : List.of("first", "second", "third")) {
                assertThat(suspects(peer, service)).containsExactly(service);
            }
        }
    }

    @Test
    void aReplyThatBreaksOffIsNoReplyAndTheNextCallHasItsOwn() throws Exception {
        AtomicInteger length = new AtomicInteger();
        AtomicInteger wholeReplyBytes = new AtomicInteger(Integer.MAX_VALUE);
        try (RawPeer peer = new RawPeer((reply, socket) -> {
            byte[] bytes = frame(reply);
            wholeReplyBytes.set(bytes.length);
            socket.getOutputStream().write(bytes, 0, Math.min(length.get(), bytes.length));
            if (length.get() < bytes.length) {
                socket.close();
            }
        })) {
            for (length.set(0); length.get() < wholeReplyBytes.get(); length.incrementAndGet()) {
                assertThatThrownBy(() -> suspects(peer, "broken")).isInstanceOf(CassiabankException.class);
            }
            length.set(Integer.MAX_VALUE);
            assertThat(suspects(peer, "whole")).containsExactly("whole");
        }
    }

    @Test
    void aReplyThatComesAfterTheTimeoutIsNotTheReplyToTheNextCall() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        try (RawPeer peer = new RawPeer((reply, socket) -> {
            if (calls.incrementAndGet() <= 2) {
                TimeUnit.MILLISECONDS.sleep(300);
            }
            socket.getOutputStream().write(frame(reply));
        })) {
            assertThatThrownBy(() -> pool.call(peer.instance(), "test", 100, client -> client.suspects("late")))
                    .isInstanceOf(CassiabankException.class);
            TimeUnit.MILLISECONDS.sleep(400);
            calls.set(2);
            for (String service : List.of("next", "last")) {
                assertThat(suspects(peer, service)).containsExactly(service);
            }
        }
    }

    @Test
    void whatStandsBehindACallInItsFrameIsNotCarriedOut() throws Exception {
        List<String> carriedOut = new CopyOnWriteArrayList<>();
        int port = FreePorts.nextPort();
        try (PeerServer server = PeerServer.start("127.0.0.1", port, PeerSocketFactories.plain(), handler(carriedOut));
                Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(TIMEOUT_MILLIS);
            socket.getOutputStream().write(frame(concatenate(callBytes("first", 1), callBytes("hidden", 2))));
            byte[] ignoredReplies = socket.getInputStream().readAllBytes();
            assertThat(ignoredReplies).as("the connection ends").isNotNull();
        }
        assertThat(carriedOut).doesNotContain("hidden");
    }

    private List<String> suspects(RawPeer peer, String service) {
        return pool.call(peer.instance(), "test", TIMEOUT_MILLIS, client -> client.suspects(service)).stream()
                .map(Suspect::getServiceName)
                .toList();
    }

    /** Replies to a call with one suspected request of the service that the call names. */
    private static Peer.Iface handler(List<String> services) {
        return (Peer.Iface) Proxy.newProxyInstance(
                Peer.Iface.class.getClassLoader(), new Class<?>[] {Peer.Iface.class}, (proxy, method, arguments) -> {
                    services.add((String) arguments[0]);
                    return List.of(new Suspect("0123456789abcdef", (String) arguments[0], List.of()));
                });
    }

    /** Returns a reply with the sequence number of the second call of a connection. */
    private static byte[] forgedReply() throws TException {
        return process(callBytes("forged", 2));
    }

    private static byte[] callBytes(String service, int sequenceNumber) throws TException {
        TMemoryBuffer buffer = new TMemoryBuffer(256);
        TCompactProtocol protocol = new TCompactProtocol(buffer);
        protocol.writeMessageBegin(new TMessage("suspects", TMessageType.CALL, sequenceNumber));
        new Peer.suspects_args(service).write(protocol);
        protocol.writeMessageEnd();
        return bytesOf(buffer);
    }

    private static byte[] process(byte[] call) throws TException {
        TMemoryBuffer input = new TMemoryBuffer(call.length);
        input.write(call);
        TMemoryBuffer output = new TMemoryBuffer(256);
        new Peer.Processor<>(handler(new ArrayList<>()))
                .process(new TCompactProtocol(input), new TCompactProtocol(output));
        return bytesOf(output);
    }

    private static byte[] bytesOf(TMemoryBuffer buffer) {
        return Arrays.copyOf(buffer.getArray(), buffer.length());
    }

    private static byte[] frame(byte[] message) {
        return ByteBuffer.allocate(Integer.BYTES + message.length)
                .putInt(message.length)
                .put(message)
                .array();
    }

    private static byte[] concatenate(byte[] first, byte[] second) {
        return ByteBuffer.allocate(first.length + second.length)
                .put(first)
                .put(second)
                .array();
    }

    /** Writes the reply to a call; afterwards the next call of the connection is read, unless it was closed. */
    private interface Script {
        void write(byte[] reply, Socket socket) throws Exception;
    }

    /** A peer on a real socket whose script writes the replies. */
    private static final class RawPeer implements AutoCloseable {
        private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        private final List<Socket> sockets = new CopyOnWriteArrayList<>();
        private final Script script;

        RawPeer(Script script) throws IOException {
            this.script = script;
            Thread.startVirtualThread(this::accept);
        }

        Instance instance() {
            return Instance.of(
                    "peer",
                    InstanceRole.PROXY,
                    "127.0.0.1:" + listener.getLocalPort(),
                    "region",
                    "domain",
                    InstanceState.LIVE);
        }

        @Override
        public void close() throws IOException {
            listener.close();
            for (Socket socket : sockets) {
                socket.close();
            }
        }

        private void accept() {
            try {
                while (true) {
                    Socket socket = listener.accept();
                    sockets.add(socket);
                    Thread.startVirtualThread(() -> serve(socket));
                }
            } catch (IOException expected) {
                // The listener was closed.
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                DataInputStream input = new DataInputStream(socket.getInputStream());
                while (!socket.isClosed()) {
                    byte[] call = new byte[input.readInt()];
                    input.readFully(call);
                    script.write(process(call), socket);
                }
            } catch (Exception expected) {
                // The client or the script closed the connection.
            }
        }
    }
}
