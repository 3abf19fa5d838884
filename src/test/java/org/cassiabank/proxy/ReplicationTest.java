package org.cassiabank.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.util.List;
import org.cassiabank.kernel.Kernel;
import org.cassiabank.membership.Instance;
import org.cassiabank.membership.InstanceList;
import org.cassiabank.membership.InstanceListCodec;
import org.cassiabank.membership.InstanceRole;
import org.cassiabank.membership.InstanceState;
import org.cassiabank.peer.ControlTrafficRecorder;
import org.cassiabank.peer.PeerClientPool;
import org.cassiabank.peer.PeerSocketFactories;
import org.cassiabank.peer.generated.ExchangeRequest;
import org.cassiabank.peer.generated.InstanceListDocument;
import org.junit.jupiter.api.Test;

/** Guards against a server that has left and is listed again through the old list of a peer cut off from the store. */
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

    private boolean isFormerServerListedAfterExchange(boolean sourceIsUpToDate) {
        fleet.install(InstanceList.of(10, List.of(SELF)));
        PeerTransport peerTransport = PeerTransport.create(
                SELF.name(), PeerClientPool.create(PeerSocketFactories.plain(), ControlTrafficRecorder.noOp()));
        Replication replication = Replication.create(SELF, fleet, peerTransport);
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
