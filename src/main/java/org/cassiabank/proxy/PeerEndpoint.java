package org.cassiabank.proxy;

import java.util.List;
import java.util.Objects;
import org.cassiabank.kernel.Kernel;
import org.cassiabank.kernel.KernelService;
import org.cassiabank.peer.PeerServer;
import org.cassiabank.peer.PeerSockets;
import org.cassiabank.peer.generated.ClaimRecord;
import org.cassiabank.peer.generated.ClaimReply;
import org.cassiabank.peer.generated.ClaimState;
import org.cassiabank.peer.generated.ExchangeReply;
import org.cassiabank.peer.generated.ExchangeRequest;
import org.cassiabank.peer.generated.NotReady;
import org.cassiabank.peer.generated.Peer;
import org.cassiabank.peer.generated.RecordedAnswer;
import org.cassiabank.peer.generated.SlotOutcome;
import org.cassiabank.peer.generated.SlotReply;
import org.cassiabank.peer.generated.SlotRequest;

/**
 * Answers the calls of other proxies.
 */
final class PeerEndpoint implements KernelService, Peer.Iface {
    private final ProxySettings settings;
    private final PeerSockets sockets;
    private FleetState fleet;
    private ShardOwners owners;
    private ClaimKeeper keeper;
    private Replication replication;
    private PeerServer server;

    private PeerEndpoint(ProxySettings settings, PeerSockets sockets) {
        this.settings = settings;
        this.sockets = sockets;
    }

    static PeerEndpoint create(ProxySettings settings, PeerSockets sockets) {
        return new PeerEndpoint(
                Objects.requireNonNull(settings, "settings"), Objects.requireNonNull(sockets, "sockets"));
    }

    @Override
    public void start(Kernel kernel) {
        fleet = kernel.get(ServiceNames.FLEET);
        owners = kernel.get(ServiceNames.OWNERS);
        keeper = kernel.get(ServiceNames.CLAIM_KEEPER);
        replication = kernel.get(ServiceNames.REPLICATION);
        SocketAddress address = settings.peerAddress();
        server = PeerServer.start(address.host(), address.port(), sockets, this);
    }

    @Override
    public void stop() {
        server.close();
    }

    @Override
    public SlotReply acquire(SlotRequest request) throws NotReady {
        if (!fleet.isReady()) {
            throw new NotReady("no configuration or instance list yet");
        }
        ShardKey shard = new ShardKey(request.getServiceName(), request.getShard());
        return PeerMessages.toMessage(owners.acquire(shard, PeerMessages.toAsk(request), request.getTicket()));
    }

    @Override
    public void report(SlotOutcome outcome) {
        owners.finish(
                new ShardKey(outcome.getServiceName(), outcome.getShard()),
                outcome.getLease(),
                PeerMessages.toOutcome(outcome.getKind()),
                outcome.getLatencyMicros(),
                outcome.isServerLeaving());
    }

    @Override
    public ExchangeReply exchange(ExchangeRequest request) {
        return replication.answer(request);
    }

    @Override
    public ClaimReply claim(String key, String claim, long requestDigest) {
        return PeerMessages.toMessage(keeper.claim(key, claim, requestDigest));
    }

    @Override
    public void conclude(String key, String claim, ClaimState state, RecordedAnswer answer) {
        keeper.conclude(key, claim, PeerMessages.toConclusion(state, answer));
    }

    @Override
    public void handOver(List<ClaimRecord> records) {
        keeper.accept(PeerMessages.toRecords(records));
    }

    @Override
    public List<ClaimRecord> recordsFor(String peer) {
        return PeerMessages.toMessages(keeper.recordsFor(peer));
    }
}
