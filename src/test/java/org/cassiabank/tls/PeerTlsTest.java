package org.cassiabank.tls;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.lang.reflect.Proxy;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.attribute.FileTime;
import java.util.List;
import org.cassiabank.kernel.CassiabankException;
import org.cassiabank.kernel.ErrorCode;
import org.cassiabank.membership.Instance;
import org.cassiabank.membership.InstanceRole;
import org.cassiabank.membership.InstanceState;
import org.cassiabank.peer.ControlTrafficRecorder;
import org.cassiabank.peer.PeerClientPool;
import org.cassiabank.peer.PeerServer;
import org.cassiabank.peer.PeerSocketFactories;
import org.cassiabank.peer.generated.Peer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against peers without the right key, and against keys that are only read at the start. */
class PeerTlsTest {
    private static final Peer.Iface HANDLER = (Peer.Iface) Proxy.newProxyInstance(
            PeerTlsTest.class.getClassLoader(),
            new Class<?>[] {Peer.Iface.class},
            (proxy, method, arguments) -> List.of());

    @TempDir
    Path directory;

    @Test
    void aPeerWithTheTrustedKeyIsAnsweredAndOthersAreRefused() throws Exception {
        TlsFiles fleet = TestKeys.write(directory, "fleet", null);
        TlsFiles stranger = TestKeys.write(directory, "stranger", fleet.certificate());
        int port = freePort();
        try (PeerServer server = PeerServer.start("127.0.0.1", port, socketFactories(fleet), HANDLER)) {
            assertThat(server).isNotNull();
            assertThat(call(socketFactories(fleet), port)).isEmpty();
            assertThatThrownBy(() -> call(socketFactories(stranger), port)).isInstanceOf(CassiabankException.class);
            assertThatThrownBy(() -> call(PeerSocketFactories.plain(), port)).isInstanceOf(CassiabankException.class);
            assertThat(call(socketFactories(fleet), port)).isEmpty();
        }
    }

    @Test
    void aReplacedKeyIsUsedWithoutARestart() throws Exception {
        TlsFiles first = TestKeys.write(directory, "first", null);
        TlsFiles second = TestKeys.write(directory, "second", null);
        int port = freePort();
        try (PeerServer server = PeerServer.start("127.0.0.1", port, socketFactories(first), HANDLER)) {
            assertThat(server).isNotNull();
            assertThat(call(socketFactories(first), port)).isEmpty();
            replace(second.certificate(), first.certificate());
            replace(second.key(), first.key());
            PeerSocketFactories newSocketFactories = socketFactories(second);
            long deadline = System.nanoTime() + 10_000_000_000L;
            boolean answered = false;
            while (!answered && System.nanoTime() < deadline) {
                answered = isAnswered(newSocketFactories, port);
            }
            assertThat(answered)
                    .as("a peer with the new key is answered within 10 s")
                    .isTrue();
        }
    }

    @Test
    void aFileThatIsNoKeyIsReportedWithItsName() throws Exception {
        TlsFiles good = TestKeys.write(directory, "good", null);
        Files.writeString(good.key(), "not a key");
        assertThatThrownBy(() -> TlsIdentity.load(good))
                .isInstanceOfSatisfying(CassiabankException.class, failure -> assertThat(failure.code())
                        .isEqualTo(ErrorCode.INVALID_INPUT))
                .hasMessageContaining("good.key");
    }

    private static void replace(Path from, Path target) throws Exception {
        Files.copy(from, target, StandardCopyOption.REPLACE_EXISTING);
        Files.setLastModifiedTime(target, FileTime.fromMillis(System.currentTimeMillis() + 5_000));
    }

    private static boolean isAnswered(PeerSocketFactories socketFactories, int port) {
        try {
            return call(socketFactories, port).isEmpty();
        } catch (CassiabankException exception) {
            return false;
        }
    }

    private static List<?> call(PeerSocketFactories socketFactories, int port) {
        Instance peer =
                Instance.of("peer", InstanceRole.PROXY, "127.0.0.1:" + port, "region", "domain", InstanceState.LIVE);
        try (PeerClientPool clientPool = PeerClientPool.create(socketFactories, ControlTrafficRecorder.noOp())) {
            return clientPool.call(peer, "records-for", 5_000, client -> client.recordsFor("self"));
        }
    }

    private static PeerSocketFactories socketFactories(TlsFiles files) {
        TlsIdentity identity = TlsIdentity.load(files);
        return new PeerSocketFactories(TlsSocketFactory.of(identity), TlsServerSocketFactory.of(identity));
    }

    private static int freePort() throws Exception {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }
}
