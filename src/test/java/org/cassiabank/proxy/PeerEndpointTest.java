package org.cassiabank.proxy;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cassiabank.admission.AdmissionRequest;
import org.cassiabank.declaration.CostHint;
import org.cassiabank.declaration.LabelRule;
import org.cassiabank.declaration.ServiceDeclaration;
import org.cassiabank.kernel.Kernel;
import org.cassiabank.load.FreePorts;
import org.cassiabank.membership.Instance;
import org.cassiabank.membership.InstanceList;
import org.cassiabank.membership.InstanceRole;
import org.cassiabank.membership.InstanceState;
import org.cassiabank.once.ProxyListHistory;
import org.cassiabank.peer.ControlTrafficRecorder;
import org.cassiabank.peer.PeerClientPool;
import org.cassiabank.peer.PeerSocketFactories;
import org.cassiabank.peer.generated.NotReady;
import org.cassiabank.peer.generated.SlotRequest;
import org.cassiabank.quota.QuotaBounds;
import org.cassiabank.revision.Change;
import org.cassiabank.revision.PutEdit;
import org.junit.jupiter.api.Test;

/**
 * Guards against an owner that has just started and refuses requests because it has not received the servers yet, and
 * against one that refuses the shards by which a daemon of the former release divides a service.
 */
class PeerEndpointTest {
    private static final Instance SELF = instance("proxy-1", InstanceRole.PROXY);

    @Test
    void daemonGrantsNoSlotsBeforeItHasAConfigurationAndAnInstanceList() throws Exception {
        FleetState fleet = FleetState.create("region");
        ProxyMetrics metrics = ProxyMetrics.create();
        PeerTransport peerTransport = PeerTransport.create(
                "proxy-1", PeerClientPool.create(PeerSocketFactories.plain(), ControlTrafficRecorder.noOp()));
        FatalRequestExchange fatalRequests = FatalRequestExchange.create(fleet, peerTransport, metrics);
        ProxyListHistory lists = ClaimTimes.newProxyListHistory();
        KnownLeavingServers leavingServers = KnownLeavingServers.create(fleet, metrics);
        PeerEndpoint endpoint = PeerEndpoint.create(settings(), PeerSocketFactories.plain());
        try (Kernel kernel = Kernel.create()
                .register(ServiceNames.FLEET_STATE, fleet)
                .register(ServiceNames.LEAVING_SERVERS, leavingServers)
                .register(ServiceNames.FATAL_REQUESTS, fatalRequests)
                .register(
                        ServiceNames.QUOTAS,
                        QuotaExchange.create(SELF, fleet, peerTransport, metrics, QuotaBounds.defaults(), 1))
                .register(
                        ServiceNames.OWNED_SHARDS,
                        OwnedShards.create(OwnerSettings.defaults(), fleet, fatalRequests, leavingServers, metrics))
                .register(ServiceNames.CLAIM_KEEPER, ClaimKeeper.create(SELF, fleet, peerTransport, lists, true))
                .register(ServiceNames.FLEET_SOURCE, NoOpFleetSource.create(false))
                .register(ServiceNames.REPLICATION, Replication.create(SELF, fleet, peerTransport))
                .register(
                        ServiceNames.FORWARDED_REQUESTS,
                        ForwardedRequests.create(
                                (forwarded, millis, attempts, revision, customer, presence) -> Optional.empty(),
                                () -> false,
                                leavingServers))
                .register(ServiceNames.PEER_ENDPOINT, endpoint)) {
            kernel.start();
            SlotRequest request = PeerMessageConverter.toMessage(request(), new ShardKey("menu", 0), 0);
            assertThatThrownBy(() -> endpoint.acquire(request)).isInstanceOf(NotReady.class);
            fleet.apply(List.of(new Change(
                    1,
                    "first",
                    List.of(
                            new PutEdit(new LabelRule("menu", "menu-*", Map.of("service", "menu")), 0),
                            new PutEdit(new ServiceDeclaration("menu", 2, 1, 1_000), 0)))));
            assertThatThrownBy(() -> endpoint.acquire(request)).isInstanceOf(NotReady.class);
            fleet.install(InstanceList.of(1, List.of(SELF, instance("menu-1", InstanceRole.BACKEND))));
            assertThat(endpoint.acquire(request).isSetGrant()).isTrue();
            fleet.install(InstanceList.of(2, largeService()));
            int newNumber = fleet.view().division("menu").shards().getFirst().number();
            for (ShardKey shard : List.of(new ShardKey("menu", 1), new ShardKey("menu", newNumber))) {
                SlotRequest either = PeerMessageConverter.toMessage(request(), shard, 0);
                assertThat(endpoint.acquire(either).getGrant().isSetLoad())
                        .as("load of shard %s, whose number is of the former or of this release", shard)
                        .isTrue();
            }
        }
    }

    private static List<Instance> largeService() {
        List<Instance> instances = new ArrayList<>(List.of(SELF));
        for (int number = 0; number < 40; number++) {
            instances.add(Instance.of(
                    "menu-" + number,
                    InstanceRole.BACKEND,
                    "127.0.0.1:1000",
                    "region",
                    "domain-" + number % 2,
                    InstanceState.LIVE));
        }
        return instances;
    }

    private static AdmissionRequest request() {
        return AdmissionRequest.forFirstAttempt(
                "proxy-2", "read", "read", "customer", CostHint.SHORT, true, 1_000, Set.of(), Map.of());
    }

    private static ProxySettings settings() {
        return ProxySettingsParser.parse("test", """
                name = "proxy-1"
                region = "region"
                failure-domain = "domain"
                callers-address = "%s"
                peer-address = "%s"
                admin-address = "%s"
                store = "http://127.0.0.1:1"
                """.formatted(
                FreePorts.nextLoopbackAddress(), FreePorts.nextLoopbackAddress(), FreePorts.nextLoopbackAddress()));
    }

    private static Instance instance(String name, InstanceRole role) {
        return Instance.of(name, role, "127.0.0.1:1000", "region", "domain", InstanceState.LIVE);
    }
}
