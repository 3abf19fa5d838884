package org.cassiabank.proxy;

import org.cassiabank.kernel.ServiceName;
import org.cassiabank.peer.PeerClients;
import org.cassiabank.source.FleetSource;

/**
 * The names under which the services of a daemon find each other.
 */
final class ServiceNames {
    static final ServiceName<ProxySettings> SETTINGS = ServiceName.of("settings", ProxySettings.class);
    static final ServiceName<ProxyMetrics> METRICS = ServiceName.of("metrics", ProxyMetrics.class);
    static final ServiceName<FleetState> FLEET = ServiceName.of("fleet", FleetState.class);
    static final ServiceName<PeerClients> PEER_CLIENTS = ServiceName.of("peer-clients", PeerClients.class);
    static final ServiceName<PeerDirectory> PEER_DIRECTORY = ServiceName.of("peer-directory", PeerDirectory.class);
    static final ServiceName<FleetSource> FLEET_SOURCE = ServiceName.of("fleet-source", FleetSource.class);
    static final ServiceName<Replication> REPLICATION = ServiceName.of("replication", Replication.class);
    static final ServiceName<ShardOwners> OWNERS = ServiceName.of("owners", ShardOwners.class);
    static final ServiceName<SlotBroker> BROKER = ServiceName.of("broker", SlotBroker.class);
    static final ServiceName<ClaimKeeper> CLAIM_KEEPER = ServiceName.of("claim-keeper", ClaimKeeper.class);
    static final ServiceName<ClaimClient> CLAIMS = ServiceName.of("claims", ClaimClient.class);
    static final ServiceName<PeerEndpoint> PEER_ENDPOINT = ServiceName.of("peer-endpoint", PeerEndpoint.class);
    static final ServiceName<Entry> ENTRY = ServiceName.of("entry", Entry.class);
    static final ServiceName<AdminPages> ADMIN = ServiceName.of("admin", AdminPages.class);

    private ServiceNames() {}
}
