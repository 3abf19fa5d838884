package org.cassiabank.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.DataInputStream;
import java.io.IOException;
import java.lang.reflect.Proxy;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.protocol.TField;
import org.apache.thrift.protocol.TList;
import org.apache.thrift.protocol.TMap;
import org.apache.thrift.protocol.TMessage;
import org.apache.thrift.protocol.TMessageType;
import org.apache.thrift.protocol.TType;
import org.apache.thrift.transport.TMemoryBuffer;
import org.cassiabank.kernel.CassiabankException;
import org.cassiabank.load.FreePorts;
import org.cassiabank.membership.Instance;
import org.cassiabank.membership.InstanceRole;
import org.cassiabank.membership.InstanceState;
import org.cassiabank.peer.generated.Peer;
import org.cassiabank.peer.generated.Suspect;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against messages of peers that name a great length or nest without end, for which memory runs out. */
@Timeout(60)
class PeerMessageLengthTest {
    private static final int TIMEOUT_MILLIS = 5_000;

    /** Below the 100 MB that Thrift permits for a message, and most of the memory of a daemon. */
    private static final int GREAT_LENGTH = 90_000_000;

    @ParameterizedTest
    @EnumSource(Call.class)
    void aCallThatNamesAGreatLengthTakesNoMemory(Call call) throws Exception {
        assertThat(exitCodeOf(Server.class, call.name())).isZero();
    }

    @ParameterizedTest
    @EnumSource(Reply.class)
    void aReplyThatNamesAGreatLengthTakesNoMemory(Reply reply) throws Exception {
        assertThat(exitCodeOf(Client.class, reply.name())).isZero();
    }

    /** Runs a process with the memory of the deployed daemon, which ends at the first shortage of memory. */
    private static int exitCodeOf(Class<?> mainClass, String argument) throws IOException, InterruptedException {
        Process process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xmx112m",
                        "-Xss256k",
                        "-XX:+UseSerialGC",
                        "-XX:+ExitOnOutOfMemoryError",
                        "-Djdk.virtualThreadScheduler.parallelism=1",
                        "-cp",
                        System.getProperty("java.class.path"),
                        mainClass.getName(),
                        argument)
                .inheritIO()
                .start();
        return process.waitFor();
    }

    private static Peer.Iface handler() {
        return (Peer.Iface) Proxy.newProxyInstance(
                Peer.Iface.class.getClassLoader(),
                new Class<?>[] {Peer.Iface.class},
                (proxy, method, arguments) ->
                        List.of(new Suspect("0123456789abcdef", (String) arguments[0], List.of())));
    }

    private static Instance peerAt(int port) {
        return Instance.of("peer", InstanceRole.PROXY, "127.0.0.1:" + port, "region", "domain", InstanceState.LIVE);
    }

    private static PeerClientPool newPool() {
        return PeerClientPool.create(PeerSocketFactories.plain(), (kind, sent, received) -> {});
    }

    private static byte[] frameOf(Message message) throws TException {
        TMemoryBuffer buffer = new TMemoryBuffer(256);
        message.write(new TCompactProtocol(buffer));
        return ByteBuffer.allocate(Integer.BYTES + buffer.length())
                .putInt(buffer.length())
                .put(Arrays.copyOf(buffer.getArray(), buffer.length()))
                .array();
    }

    /** Writes the beginning of a text, whose length is a number like any other. */
    private static void writeLength(TCompactProtocol protocol) throws TException {
        byte[] zigzagOfLength = new byte[5];
        int rest = GREAT_LENGTH;
        int count = 0;
        while (rest > 0x7f) {
            zigzagOfLength[count++] = (byte) (rest & 0x7f | 0x80);
            rest >>>= 7;
        }
        zigzagOfLength[count++] = (byte) rest;
        protocol.getTransport().write(zigzagOfLength, 0, count);
    }

    private interface Message {
        void write(TCompactProtocol protocol) throws TException;
    }

    private enum Call {
        NAME_OF_THE_SERVICE("suspects", protocol -> {
            protocol.writeFieldBegin(new TField("service", TType.STRING, (short) 1));
            writeLength(protocol);
        }),
        LIST_OF_STRUCTURES("recordSuspects", protocol -> {
            protocol.writeFieldBegin(new TField("suspects", TType.LIST, (short) 1));
            protocol.writeListBegin(new TList(TType.STRUCT, GREAT_LENGTH));
        }),
        LIST_OF_NOTHING("recordSuspects", protocol -> {
            protocol.writeFieldBegin(new TField("suspects", TType.LIST, (short) 1));
            protocol.writeListBegin(new TList(TType.STOP, GREAT_LENGTH));
        }),
        MAP_OF_HEADERS("forward", protocol -> {
            protocol.writeFieldBegin(new TField("request", TType.STRUCT, (short) 1));
            protocol.writeStructBegin(null);
            protocol.writeFieldBegin(new TField("headers", TType.MAP, (short) 4));
            protocol.writeMapBegin(new TMap(TType.STRING, TType.LIST, GREAT_LENGTH / 2));
            protocol.writeString("name");
            protocol.writeListBegin(new TList(TType.STRING, 1));
            protocol.writeString("value");
        }),
        UNKNOWN_FIELD("suspects", protocol -> {
            protocol.writeFieldBegin(new TField("unknown", TType.STRING, (short) 9));
            writeLength(protocol);
        }),
        NESTED_WITHOUT_END("suspects", protocol -> {
            for (int depth = 0; depth < 200_000; depth++) {
                protocol.getTransport().write(new byte[] {0x1c}, 0, 1);
            }
        });

        private final String method;
        private final Message rest;

        Call(String method, Message rest) {
            this.method = method;
            this.rest = rest;
        }

        private byte[] frame() throws TException {
            return frameOf(protocol -> {
                protocol.writeMessageBegin(new TMessage(method, TMessageType.CALL, 1));
                protocol.writeStructBegin(null);
                rest.write(protocol);
            });
        }
    }

    private enum Reply {
        LIST_OF_STRUCTURES(protocol -> {
            protocol.writeMessageBegin(new TMessage("suspects", TMessageType.REPLY, 1));
            protocol.writeStructBegin(null);
            protocol.writeFieldBegin(new TField("success", TType.LIST, (short) 0));
            protocol.writeListBegin(new TList(TType.STRUCT, GREAT_LENGTH));
        }),
        TEXT(protocol -> {
            protocol.writeMessageBegin(new TMessage("suspects", TMessageType.REPLY, 1));
            protocol.writeStructBegin(null);
            protocol.writeFieldBegin(new TField("success", TType.LIST, (short) 0));
            protocol.writeListBegin(new TList(TType.STRUCT, 1));
            protocol.writeStructBegin(null);
            protocol.writeFieldBegin(new TField("digest", TType.STRING, (short) 1));
            writeLength(protocol);
        }),
        NESTED_WITHOUT_END(protocol -> {
            protocol.writeMessageBegin(new TMessage("suspects", TMessageType.REPLY, 1));
            for (int depth = 0; depth < 200_000; depth++) {
                protocol.getTransport().write(new byte[] {0x1c}, 0, 1);
            }
        });

        private final Message message;

        Reply(Message message) {
            this.message = message;
        }
    }

    /** Receives such a call; its exit code is 0 if it answers the next one on another connection. */
    static final class Server {
        private Server() {}

        public static void main(String[] arguments) throws Exception {
            int port = FreePorts.nextPort();
            PeerServer.start("127.0.0.1", port, PeerSocketFactories.plain(), handler());
            boolean ended;
            try (Socket socket = new Socket("127.0.0.1", port)) {
                socket.setSoTimeout(TIMEOUT_MILLIS);
                socket.getOutputStream().write(Call.valueOf(arguments[0]).frame());
                socket.shutdownOutput();
                ended = socket.getInputStream().readAllBytes().length >= 0;
            }
            List<Suspect> suspects =
                    newPool().call(peerAt(port), "test", TIMEOUT_MILLIS, client -> client.suspects("next"));
            Runtime.getRuntime().halt(ended && suspects.size() == 1 ? 0 : 1);
        }
    }

    /** Receives such a reply; its exit code is 0 if the call fails as one that has no reply. */
    static final class Client {
        private Client() {}

        public static void main(String[] arguments) throws Exception {
            byte[] frame = frameOf(Reply.valueOf(arguments[0]).message);
            ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
            Thread.ofPlatform().daemon().start(() -> reply(listener, frame));
            int exitCode = 1;
            try {
                newPool().call(peerAt(listener.getLocalPort()), "test", TIMEOUT_MILLIS, client -> client.suspects("a"));
            } catch (CassiabankException expected) {
                exitCode = 0;
            }
            Runtime.getRuntime().halt(exitCode);
        }

        private static void reply(ServerSocket listener, byte[] frame) {
            try (Socket socket = listener.accept()) {
                DataInputStream input = new DataInputStream(socket.getInputStream());
                input.readNBytes(input.readInt());
                socket.getOutputStream().write(frame);
                socket.shutdownOutput();
                input.readAllBytes();
            } catch (IOException expected) {
                // The client closed the connection.
            }
        }
    }
}
