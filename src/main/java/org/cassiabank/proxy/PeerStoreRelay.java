package org.cassiabank.proxy;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.cassiabank.kernel.CassiabankException;
import org.cassiabank.membership.Instance;
import org.cassiabank.peer.PeerCall;
import org.cassiabank.source.PropagationTimes;
import org.cassiabank.source.StoreRelay;
import org.cassiabank.source.StoreRelayReply;
import org.cassiabank.source.StoreRevision;

/**
 * Follows the store through the watchers of this daemon's failure domain. It stays with one of them as long as that one
 * keeps confirming the state, and goes on to the next one otherwise.
 */
final class PeerStoreRelay implements StoreRelay {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int LOG_INTERVAL_SECONDS = 1;

    private final Replication replication;
    private final PeerTransport peerTransport;
    private final PropagationTimes times;
    /** Confined to the thread that follows the store. */
    private int preferredWatcher = ThreadLocalRandom.current().nextInt(Short.MAX_VALUE);

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
    public StoreRelayReply awaitChanges(StoreRevision afterRevision, long waitMillis, long totalMillis) {
        long startMillis = MonotonicClock.millis();
        List<Instance> watchers = replication.planner().otherWatchers();
        for (int attempt = 0; attempt < watchers.size(); attempt++) {
            Instance watcher = watchers.get(Math.floorMod(preferredWatcher, watchers.size()));
            long elapsedMillis = MonotonicClock.millis() - startMillis;
            // The wait is over when a watcher has not replied: the next one only says what it knows.
            long remainingWaitMillis = Math.max(0, waitMillis - elapsedMillis);
            long timeoutMillis = Math.min(remainingWaitMillis + times.replyMillis(), totalMillis - elapsedMillis);
            if (timeoutMillis > 0 && peerTransport.isReachable(watcher)) {
                StoreRelayReply reply = ask(watcher, afterRevision, remainingWaitMillis, timeoutMillis);
                if (!isNews(reply)) {
                    preferredWatcher++;
                }
                if (!(reply instanceof StoreRelayReply.Unavailable)) {
                    return reply;
                }
            } else {
                preferredWatcher++;
            }
        }
        return new StoreRelayReply.Unavailable();
    }

    /** Tells whether a reply has changes, or the store has told the watcher during the call that there are none. */
    private static boolean isNews(StoreRelayReply reply) {
        return reply instanceof StoreRelayReply.Current current
                && (!current.changes().events().isEmpty()
                        || current.confirmedBeforeCallMillis().orElse(0) < 0);
    }

    private StoreRelayReply ask(Instance watcher, StoreRevision afterRevision, long waitMillis, long timeoutMillis) {
        try {
            return peerTransport.call(
                    watcher,
                    "store-changes",
                    Math.toIntExact(timeoutMillis),
                    PeerCall.withResultIfUnknown(
                            client -> PeerMessageConverter.toStoreRelayReply(
                                    client.storeChanges(afterRevision.number(), waitMillis, afterRevision.era())),
                            new StoreRelayReply.Unavailable()));
        } catch (CassiabankException exception) {
            LOGGER.atInfo().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
                    "watcher %s did not tell of changes after revision %s within %d ms, asking the next watcher or the"
                            + " store: %s",
                    watcher.name(), afterRevision, timeoutMillis, exception.getMessage());
            return new StoreRelayReply.Unavailable();
        }
    }
}
