package org.cassiabank.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.lang.reflect.Proxy;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.cassiabank.kernel.Kernel;
import org.cassiabank.load.FreePorts;
import org.cassiabank.membership.Instance;
import org.cassiabank.membership.InstanceList;
import org.cassiabank.membership.InstanceListCodec;
import org.cassiabank.membership.InstanceRole;
import org.cassiabank.membership.InstanceState;
import org.cassiabank.peer.ControlTrafficRecorder;
import org.cassiabank.peer.PeerClientPool;
import org.cassiabank.peer.PeerServer;
import org.cassiabank.peer.PeerSocketFactories;
import org.cassiabank.peer.generated.ExchangeRequest;
import org.cassiabank.peer.generated.InstanceListDocument;
import org.cassiabank.peer.generated.Peer;
import org.cassiabank.source.VersionedConfiguration;
import org.junit.jupiter.api.Test;

/**
 * Guards against a server that has left and is listed again through the old list of a peer cut off from the store, and
 * against an older configuration at a daemon that has read nothing but an older copy of the store.
 */
class ReplicationTest {
    private static final Instance SELF = instance("proxy-1", InstanceRole.PROXY);
    private static final Instance FORMER_SERVER = instance("left", InstanceRole.BACKEND);

    private final FleetState fleet = FleetState.create("region");

    @Test
    void daemonThatFollowsTheStoreIgnoresTheInstanceListOfAPeer() {
        assertThat(isFormerServerListedAfterExchange(true)).isFalse();
    }

    @Test
    void daemonCutOffFromTheStoreInstallsTheInstanceListOfAPeer() {
        assertThat(isFormerServerListedAfterExchange(false)).isTrue();
    }

    @Test
    void aDaemonThatHasReadAnOlderCopyOfTheStoreGetsTheNewerConfigurationAndNotTheListOfItsPeer() {
        int port = FreePorts.nextPort();
        Instance peer =
                Instance.of("proxy-2", InstanceRole.PROXY, "127.0.0.1:" + port, "region", "domain", InstanceState.LIVE);
        FleetState peerFleet = FleetState.create("region");
        peerFleet.install(InstanceList.of(20, List.of(SELF, peer, FORMER_SERVER)));
        peerFleet.install(new VersionedConfiguration(9, List.of()));
        Replication peerReplication = Replication.create(peer, peerFleet, newPeerTransport(peer));
        fleet.install(InstanceList.of(10, List.of(SELF, peer)));
        fleet.install(new VersionedConfiguration(5, List.of()));
        Replication replication = Replication.create(SELF, fleet, newPeerTransport(SELF));
        try (PeerServer server =
                        PeerServer.start("127.0.0.1", port, PeerSocketFactories.plain(), exchangesOf(peerReplication));
                Kernel kernel = Kernel.create()
                        .register(ServiceNames.FLEET_SOURCE, NoOpFleetSource.withUnsettledConfiguration())
                        .register(ServiceNames.REPLICATION, replication)) {
            kernel.start();
            long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
            while (fleet.revision() != 9 && System.nanoTime() < deadlineNanos) {
                LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(5));
            }
            assertThat(fleet.revision()).isEqualTo(9);
            assertThat(fleet.view().instances().index()).isEqualTo(10);
            assertThat(peerFleet.view().instances().index()).isEqualTo(20);
        }
    }

    /** Answers exchanges only; other calls are not made. */
    private static Peer.Iface exchangesOf(Replication replication) {
        return (Peer.Iface) Proxy.newProxyInstance(
                Peer.Iface.class.getClassLoader(),
                new Class<?>[] {Peer.Iface.class},
                (proxy, method, arguments) -> replication.answerExchange((ExchangeRequest) arguments[0]));
    }

    private static PeerTransport newPeerTransport(Instance self) {
        return PeerTransport.create(
                self.name(), PeerClientPool.create(PeerSocketFactories.plain(), ControlTrafficRecorder.noOp()));
    }

    private boolean isFormerServerListedAfterExchange(boolean sourceIsUpToDate) {
        fleet.install(InstanceList.of(10, List.of(SELF)));
        Replication replication = Replication.create(SELF, fleet, newPeerTransport(SELF));
        try (Kernel kernel = Kernel.create()
                .register(ServiceNames.FLEET_SOURCE, NoOpFleetSource.create(sourceIsUpToDate))
                .register(ServiceNames.REPLICATION, replication)) {
            kernel.start();
            ExchangeRequest request = new ExchangeRequest("proxy-2", 0, 20);
            request.setInstances(new InstanceListDocument(
                    20,
                    ByteBuffer.wrap(InstanceListCodec.toJson(List.of(SELF, FORMER_SERVER))),
                    0,
                    List.of(),
                    InstanceList.of(20, List.of(SELF, FORMER_SERVER)).digest()));
            replication.answerExchange(request);
            return fleet.view().instances().find(FORMER_SERVER.name()).isPresent();
        }
    }

    private static Instance instance(String name, InstanceRole role) {
        return Instance.of(name, role, "127.0.0.1:1", "region", "domain", InstanceState.LIVE);
    }
}
