package org.cassiabank.proxy;

import java.util.List;
import java.util.Objects;
import org.cassiabank.admission.ServerNotice;
import org.cassiabank.health.RequestDigest;
import org.cassiabank.kernel.Kernel;
import org.cassiabank.kernel.KernelService;
import org.cassiabank.peer.PeerServer;
import org.cassiabank.peer.PeerSocketFactories;
import org.cassiabank.peer.generated.ClaimRecord;
import org.cassiabank.peer.generated.ClaimReply;
import org.cassiabank.peer.generated.ClaimState;
import org.cassiabank.peer.generated.ExchangeReply;
import org.cassiabank.peer.generated.ExchangeRequest;
import org.cassiabank.peer.generated.ForwardedReply;
import org.cassiabank.peer.generated.ForwardedRequest;
import org.cassiabank.peer.generated.NotReady;
import org.cassiabank.peer.generated.Peer;
import org.cassiabank.peer.generated.QuotaLease;
import org.cassiabank.peer.generated.QuotaReport;
import org.cassiabank.peer.generated.RecordedAnswer;
import org.cassiabank.peer.generated.SlotOutcome;
import org.cassiabank.peer.generated.SlotReply;
import org.cassiabank.peer.generated.SlotRequest;
import org.cassiabank.peer.generated.StoreChanges;
import org.cassiabank.peer.generated.Suspect;
import org.cassiabank.source.FleetSource;
import org.cassiabank.source.StoreRevision;

/**
 * Serves the Thrift calls of other proxies: slots, exchanges of fleet state and claims.
 */
final class PeerEndpoint implements KernelService, Peer.Iface {
    /** Peers call again after this time, so that a connection that has gone silent holds a thread no longer. */
    private static final long MAXIMUM_RELAY_WAIT_MILLIS = 10_000;

    private final ProxySettings settings;
    private final PeerSocketFactories socketFactories;
    private FleetState fleet;
    private OwnedShards ownedShards;
    private KnownLeavingServers leavingServers;
    private FatalRequestExchange fatalRequests;
    private QuotaExchange quotas;
    private ClaimKeeper claimKeeper;
    private Replication replication;
    private FleetSource fleetSource;
    private ForwardedRequests forwardedRequests;
    private PeerServer peerServer;

    private PeerEndpoint(ProxySettings settings, PeerSocketFactories socketFactories) {
        this.settings = settings;
        this.socketFactories = socketFactories;
    }

    static PeerEndpoint create(ProxySettings settings, PeerSocketFactories socketFactories) {
        return new PeerEndpoint(
                Objects.requireNonNull(settings, "settings"),
                Objects.requireNonNull(socketFactories, "socketFactories"));
    }

    @Override
    public void start(Kernel kernel) {
        fleet = kernel.get(ServiceNames.FLEET_STATE);
        ownedShards = kernel.get(ServiceNames.OWNED_SHARDS);
        leavingServers = kernel.get(ServiceNames.LEAVING_SERVERS);
        fatalRequests = kernel.get(ServiceNames.FATAL_REQUESTS);
        quotas = kernel.get(ServiceNames.QUOTAS);
        claimKeeper = kernel.get(ServiceNames.CLAIM_KEEPER);
        replication = kernel.get(ServiceNames.REPLICATION);
        fleetSource = kernel.get(ServiceNames.FLEET_SOURCE);
        forwardedRequests = kernel.get(ServiceNames.FORWARDED_REQUESTS);
        HostAndPort address = settings.peerAddress();
        peerServer = PeerServer.start(address.host(), address.port(), socketFactories, this);
    }

    @Override
    public void stop() {
        peerServer.close();
    }

    @Override
    public SlotReply acquire(SlotRequest request) throws NotReady {
        if (!fleet.isReady()) {
            throw new NotReady("no configuration or instance list yet");
        }
        ShardKey shard = new ShardKey(request.getServiceName(), request.getShard());
        if (leavingServers.merge(
                PeerMessageConverter.toServerStarts(request.getLeavingServers()), request.getEntry())) {
            ownedShards.updateServers(shard);
        }
        SlotReply reply = PeerMessageConverter.toMessage(
                ownedShards.acquire(
                        shard,
                        PeerMessageConverter.toAdmissionRequest(request),
                        request.getTicket(),
                        PeerMessageConverter.toServerRateLimits(request)),
                request.isKnowsQuotas());
        return ownedShards
                .occupancyBesideOthers(shard)
                .map(occupancy -> ShardLoadMessages.withOccupancy(reply, occupancy))
                .orElse(reply);
    }

    @Override
    public void report(SlotOutcome outcome) {
        PeerMessageConverter.toMessageBytes(outcome)
                .ifPresent(bytes -> ownedShards.recordMessageBytes(
                        new ShardKey(outcome.getServiceName(), outcome.getShard()), outcome.getLease(), bytes));
        ownedShards.completeLease(
                new ShardKey(outcome.getServiceName(), outcome.getShard()),
                outcome.getLease(),
                PeerMessageConverter.toAttemptOutcome(outcome),
                outcome.getLatencyMicros(),
                new ServerNotice(outcome.isServerLeaving(), PeerMessageConverter.toRateLimitNotice(outcome)),
                outcome.isSetServer() ? outcome.getServer() : "",
                outcome.isSetDigest() ? new RequestDigest(outcome.getDigest()) : RequestDigest.none());
    }

    @Override
    public void recordSuspects(List<Suspect> suspects) {
        fatalRequests.merge(PeerMessageConverter.toSuspectedRequests(suspects));
    }

    @Override
    public List<Suspect> suspects(String serviceName) {
        return fatalRequests.suspects(serviceName).stream()
                .map(PeerMessageConverter::toMessage)
                .toList();
    }

    @Override
    public List<QuotaLease> exchangeQuotas(QuotaReport report) {
        return quotas.answer(QuotaMessages.toReport(report, settings.name())).stream()
                .map(QuotaMessages::toMessage)
                .toList();
    }

    @Override
    public ExchangeReply exchange(ExchangeRequest request) {
        return replication.answerExchange(request);
    }

    @Override
    public StoreChanges storeChanges(long afterRevision, long waitMillis, long afterEra) {
        return PeerMessageConverter.toMessage(fleetSource.awaitChanges(
                new StoreRevision(afterEra, afterRevision), Math.clamp(waitMillis, 0, MAXIMUM_RELAY_WAIT_MILLIS)));
    }

    @Override
    public ForwardedReply forward(ForwardedRequest request) {
        return forwardedRequests.carryOut(request);
    }

    @Override
    public ForwardedReply forwardForCustomer(ForwardedRequest request) {
        return forwardedRequests.carryOutForCustomer(request);
    }

    @Override
    public void cancelForwarded(String id) {
        forwardedRequests.cancel(id);
    }

    @Override
    public ClaimReply claim(String key, String claimId, long requestDigest) {
        return PeerMessageConverter.toMessage(claimKeeper.claim(key, claimId, requestDigest));
    }

    @Override
    public void conclude(String key, String claimId, ClaimState state, RecordedAnswer response) {
        claimKeeper.conclude(key, claimId, PeerMessageConverter.toConclusion(state, response));
    }

    @Override
    public void handOver(List<ClaimRecord> records) {
        claimKeeper.mergeRecords(PeerMessageConverter.toRecords(records));
    }

    @Override
    public List<ClaimRecord> recordsFor(String peerName) {
        return PeerMessageConverter.toMessages(claimKeeper.recordsFor(peerName));
    }
}
