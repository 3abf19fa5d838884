package org.cassiabank.proxy;

import java.util.List;
import java.util.Objects;
import org.cassiabank.kernel.CassiabankException;
import org.cassiabank.membership.Instance;
import org.cassiabank.peer.PeerCall;
import org.cassiabank.source.StoreRelay;
import org.cassiabank.source.StoreRelayReply;
import org.cassiabank.source.StoreRevision;

/**
 * Follows the store through the watchers of this daemon's failure domain, a different one at each call: if one of them
 * no longer gets changes, the other one tells them at the next call.
 */
final class PeerStoreRelay implements StoreRelay {
    /** Added to the wait for changes; a watcher that does not answer by then is frozen, cut off or has failed. */
    private static final int REPLY_TIMEOUT_MILLIS = 300;

    private final Replication replication;
    private final PeerTransport peerTransport;
    /** Confined to the thread that follows the store. */
    private int nextWatcher;

    private PeerStoreRelay(Replication replication, PeerTransport peerTransport) {
        this.replication = replication;
        this.peerTransport = peerTransport;
    }

    static PeerStoreRelay create(Replication replication, PeerTransport peerTransport) {
        return new PeerStoreRelay(
                Objects.requireNonNull(replication, "replication"),
                Objects.requireNonNull(peerTransport, "peerTransport"));
    }

    @Override
    public boolean isWatcher() {
        return replication.planner().isWatcher();
    }

    @Override
    public StoreRelayReply awaitChanges(StoreRevision afterRevision, long waitMillis) {
        List<Instance> watchers = replication.planner().otherWatchers();
        for (int attempt = 0; attempt < watchers.size(); attempt++) {
            nextWatcher = (nextWatcher + 1) % watchers.size();
            Instance watcher = watchers.get(nextWatcher);
            if (peerTransport.isReachable(watcher)) {
                StoreRelayReply reply = ask(watcher, afterRevision, waitMillis);
                if (!(reply instanceof StoreRelayReply.Unavailable)) {
                    return reply;
                }
            }
        }
        return new StoreRelayReply.Unavailable();
    }

    private StoreRelayReply ask(Instance watcher, StoreRevision afterRevision, long waitMillis) {
        try {
            int timeoutMillis = Math.toIntExact(waitMillis + REPLY_TIMEOUT_MILLIS);
            return peerTransport.call(
                    watcher,
                    "store-changes",
                    timeoutMillis,
                    PeerCall.withResultIfUnknown(
                            client -> PeerMessageConverter.toStoreRelayReply(
                                    client.storeChanges(afterRevision.number(), waitMillis, afterRevision.era())),
                            new StoreRelayReply.Unavailable()));
        } catch (CassiabankException exception) {
            // The transport has recorded the failure; the next watcher or the store is asked instead.
            return new StoreRelayReply.Unavailable();
        }
    }
}
