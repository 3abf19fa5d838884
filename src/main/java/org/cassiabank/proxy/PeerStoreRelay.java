package org.cassiabank.proxy;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import org.cassiabank.kernel.CassiabankException;
import org.cassiabank.membership.Instance;
import org.cassiabank.peer.PeerCall;
import org.cassiabank.source.PropagationTimes;
import org.cassiabank.source.StoreRelay;
import org.cassiabank.source.StoreRelayReply;
import org.cassiabank.source.StoreRevision;

/**
 * Follows the store through the watchers of this daemon's failure domain, a different one at each call: if one of them
 * no longer gets changes, the other one tells them at the next call. How long it waits for them all together follows
 * from the time within which a change has to be in force.
 */
final class PeerStoreRelay implements StoreRelay {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int LOG_INTERVAL_SECONDS = 1;

    private final Replication replication;
    private final PeerTransport peerTransport;
    private final PropagationTimes times;
    /** Confined to the thread that follows the store. */
    private int nextWatcher;

    private PeerStoreRelay(Replication replication, PeerTransport peerTransport, PropagationTimes times) {
        this.times = times;
        this.replication = replication;
        this.peerTransport = peerTransport;
    }

    static PeerStoreRelay create(Replication replication, PeerTransport peerTransport, PropagationTimes times) {
        return new PeerStoreRelay(
                Objects.requireNonNull(replication, "replication"),
                Objects.requireNonNull(peerTransport, "peerTransport"),
                Objects.requireNonNull(times, "times"));
    }

    @Override
    public boolean isWatcher() {
        return replication.planner().isWatcher();
    }

    @Override
    public StoreRelayReply awaitChanges(StoreRevision afterRevision, long waitMillis) {
        long waitEndMillis = MonotonicClock.millis() + waitMillis;
        List<Instance> watchers = replication.planner().otherWatchers();
        for (int attempt = 0; attempt < watchers.size(); attempt++) {
            nextWatcher = (nextWatcher + 1) % watchers.size();
            Instance watcher = watchers.get(nextWatcher);
            if (peerTransport.isReachable(watcher)) {
                // The wait is over when a watcher has not replied: the next one only says what it knows.
                long remainingMillis = Math.max(0, waitEndMillis - MonotonicClock.millis());
                StoreRelayReply reply = ask(watcher, afterRevision, remainingMillis);
                if (!(reply instanceof StoreRelayReply.Unavailable)) {
                    return reply;
                }
            }
        }
        return new StoreRelayReply.Unavailable();
    }

    private StoreRelayReply ask(Instance watcher, StoreRevision afterRevision, long waitMillis) {
        try {
            int timeoutMillis = Math.toIntExact(waitMillis + times.relayReplyMillis());
            return peerTransport.call(
                    watcher,
                    "store-changes",
                    timeoutMillis,
                    PeerCall.withResultIfUnknown(
                            client -> PeerMessageConverter.toStoreRelayReply(
                                    client.storeChanges(afterRevision.number(), waitMillis, afterRevision.era())),
                            new StoreRelayReply.Unavailable()));
        } catch (CassiabankException exception) {
            LOGGER.atInfo().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
                    "watcher %s did not tell of changes after revision %s within %d ms, asking the next watcher or the"
                            + " store: %s",
                    watcher.name(), afterRevision, waitMillis + times.relayReplyMillis(), exception.getMessage());
            return new StoreRelayReply.Unavailable();
        }
    }
}
