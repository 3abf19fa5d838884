package org.cassiabank.proxy;

import org.cassiabank.kernel.ServiceName;
import org.cassiabank.peer.PeerClientPool;
import org.cassiabank.source.FleetSource;

/**
 * The names under which the services of a daemon are registered in its kernel.
 */
final class ServiceNames {
    static final ServiceName<ProxySettings> SETTINGS = ServiceName.of("settings", ProxySettings.class);
    static final ServiceName<ProxyMetrics> METRICS = ServiceName.of("metrics", ProxyMetrics.class);
    static final ServiceName<FleetState> FLEET_STATE = ServiceName.of("fleet-state", FleetState.class);
    static final ServiceName<KnownLeavingServers> LEAVING_SERVERS =
            ServiceName.of("leaving-servers", KnownLeavingServers.class);
    static final ServiceName<PeerClientPool> PEER_CLIENTS = ServiceName.of("peer-clients", PeerClientPool.class);
    static final ServiceName<PeerTransport> PEER_TRANSPORT = ServiceName.of("peer-transport", PeerTransport.class);
    static final ServiceName<FleetSource> FLEET_SOURCE = ServiceName.of("fleet-source", FleetSource.class);
    static final ServiceName<Replication> REPLICATION = ServiceName.of("replication", Replication.class);
    static final ServiceName<QuotaExchange> QUOTAS = ServiceName.of("quotas", QuotaExchange.class);
    static final ServiceName<OwnedShards> OWNED_SHARDS = ServiceName.of("owned-shards", OwnedShards.class);
    static final ServiceName<SlotBroker> SLOT_BROKER = ServiceName.of("slot-broker", SlotBroker.class);
    static final ServiceName<FatalRequestExchange> FATAL_REQUESTS =
            ServiceName.of("fatal-requests", FatalRequestExchange.class);
    static final ServiceName<ServerPathMonitor> SERVER_PATH = ServiceName.of("server-path", ServerPathMonitor.class);
    static final ServiceName<ForwardedRequests> FORWARDED_REQUESTS =
            ServiceName.of("forwarded-requests", ForwardedRequests.class);
    static final ServiceName<PlannedStop> PLANNED_STOP = ServiceName.of("planned-stop", PlannedStop.class);
    static final ServiceName<ClaimKeeper> CLAIM_KEEPER = ServiceName.of("claim-keeper", ClaimKeeper.class);
    static final ServiceName<ClaimClient> CLAIM_CLIENT = ServiceName.of("claim-client", ClaimClient.class);
    static final ServiceName<PeerEndpoint> PEER_ENDPOINT = ServiceName.of("peer-endpoint", PeerEndpoint.class);
    static final ServiceName<RequestHandler> REQUEST_HANDLER = ServiceName.of("request-handler", RequestHandler.class);
    static final ServiceName<WarmStart> WARM_START = ServiceName.of("warm-start", WarmStart.class);
    static final ServiceName<AdminEndpoint> ADMIN = ServiceName.of("admin", AdminEndpoint.class);

    private ServiceNames() {}
}
