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

/** Guards against calls from peers without a trusted key, and against keys that are read only at the start. */
class PeerTlsTest {
    private static final Peer.Iface EMPTY_HANDLER = (Peer.Iface) Proxy.newProxyInstance(
            PeerTlsTest.class.getClassLoader(),
            new Class<?>[] {Peer.Iface.class},
            (proxy, method, arguments) -> List.of());

    @TempDir
    Path directory;

    @Test
    void aPeerWithTheTrustedKeyIsAnsweredAndOthersAreRefused() throws Exception {
        TlsFiles trusted = TestKeys.write(directory, "fleet", null);
        TlsFiles untrusted = TestKeys.write(directory, "stranger", trusted.certificate());
        int port = freePort();
        try (PeerServer server = PeerServer.start("127.0.0.1", port, socketFactories(trusted), EMPTY_HANDLER)) {
            assertThat(server).isNotNull();
            assertThat(callPeer(socketFactories(trusted), port)).isEmpty();
            assertThatThrownBy(() -> callPeer(socketFactories(untrusted), port))
                    .isInstanceOf(CassiabankException.class);
            assertThatThrownBy(() -> callPeer(PeerSocketFactories.plain(), port))
                    .isInstanceOf(CassiabankException.class);
            assertThat(callPeer(socketFactories(trusted), port)).isEmpty();
        }
    }

    @Test
    void aReplacedKeyIsUsedWithoutARestart() throws Exception {
        TlsFiles first = TestKeys.write(directory, "first", null);
        TlsFiles second = TestKeys.write(directory, "second", null);
        int port = freePort();
        try (PeerServer server = PeerServer.start("127.0.0.1", port, socketFactories(first), EMPTY_HANDLER)) {
            assertThat(server).isNotNull();
            assertThat(callPeer(socketFactories(first), port)).isEmpty();
            replaceFile(second.certificate(), first.certificate());
            replaceFile(second.key(), first.key());
            PeerSocketFactories newSocketFactories = socketFactories(second);
            long deadlineNanos = System.nanoTime() + 10_000_000_000L;
            boolean answered = false;
            while (!answered && System.nanoTime() < deadlineNanos) {
                answered = isAnswered(newSocketFactories, port);
            }
            assertThat(answered)
                    .as("a peer with the new key is answered within 10 s")
                    .isTrue();
        }
    }

    @Test
    void aFileThatIsNotAKeyIsReportedWithItsName() throws Exception {
        TlsFiles files = TestKeys.write(directory, "good", null);
        Files.writeString(files.key(), "not a key");
        assertThatThrownBy(() -> TlsIdentity.load(files))
                .isInstanceOfSatisfying(CassiabankException.class, failure -> assertThat(failure.code())
                        .isEqualTo(ErrorCode.INVALID_INPUT))
                .hasMessageContaining("good.key");
    }

    private static void replaceFile(Path source, Path target) throws Exception {
        Files.copy(source, target, StandardCopyOption.REPLACE_EXISTING);
        // Later than the former time, so that the replacement is detected however fast it happens.
        Files.setLastModifiedTime(target, FileTime.fromMillis(System.currentTimeMillis() + 5_000));
    }

    private static boolean isAnswered(PeerSocketFactories socketFactories, int port) {
        try {
            return callPeer(socketFactories, port).isEmpty();
        } catch (CassiabankException exception) {
            return false;
        }
    }

    private static List<?> callPeer(PeerSocketFactories socketFactories, int port) {
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
