package org.cassiabank.proxy;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.cassiabank.kernel.BackgroundTasks;
import org.cassiabank.kernel.CassiabankException;
import org.cassiabank.kernel.Kernel;
import org.cassiabank.kernel.KernelService;
import org.cassiabank.membership.Instance;
import org.cassiabank.once.ClaimConclusion;
import org.cassiabank.once.ClaimHandover;
import org.cassiabank.once.ClaimRecord;
import org.cassiabank.once.ClaimSettings;
import org.cassiabank.once.ClaimState;
import org.cassiabank.once.ClaimTable;
import org.cassiabank.once.KeeperVote;
import org.cassiabank.once.ProxyListHistory;

/**
 * Keeps claims of idempotency keys for the entry proxies of the region, and hands them over to the new keepers when the
 * list of proxies changes.
 */
final class ClaimKeeper implements KernelService {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Limits one peer call that sends or requests claim records. */
    private static final int RECORD_TRANSFER_TIMEOUT_MILLIS = 2_000;

    private static final int RECORDS_PER_MESSAGE = 500;
    private static final int HAND_OVER_ATTEMPTS = 3;
    private static final long COLLECTION_INTERVAL_MILLIS = 500;

    private final Instance self;
    private final FleetState fleet;
    private final PeerTransport peerTransport;
    private final ProxyListHistory proxyLists;
    private final ClaimSettings settings = ClaimSettings.defaults();
    private final ClaimTable table = ClaimTable.create(settings);
    private final Set<String> collectedPeers = new HashSet<>();
    private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor(
            Thread.ofPlatform().name("claim-handover").daemon().factory());
    private final boolean enabled;
    private long startMillis;

    private ClaimKeeper(
            Instance self,
            FleetState fleet,
            PeerTransport peerTransport,
            ProxyListHistory proxyLists,
            boolean enabled) {
        this.self = self;
        this.fleet = fleet;
        this.peerTransport = peerTransport;
        this.proxyLists = proxyLists;
        this.enabled = enabled;
    }

    static ClaimKeeper create(
            Instance self,
            FleetState fleet,
            PeerTransport peerTransport,
            ProxyListHistory proxyLists,
            boolean enabled) {
        return new ClaimKeeper(
                Objects.requireNonNull(self, "self"),
                Objects.requireNonNull(fleet, "fleet"),
                Objects.requireNonNull(peerTransport, "peerTransport"),
                Objects.requireNonNull(proxyLists, "proxyLists"),
                enabled);
    }

    @Override
    public void start(Kernel kernel) {
        if (!enabled) {
            return;
        }
        startMillis = MonotonicClock.millis();
        fleet.addListener((formerView, newView) -> {
            if (!formerView.regionProxies().equals(newView.regionProxies())) {
                proxyLists.observe(newView.regionProxies(), MonotonicClock.millis());
                Runnable handOver = BackgroundTasks.guarded(
                        "claim handover", () -> handOver(formerView.regionProxies(), newView.regionProxies()));
                executor.execute(handOver);
                // Until the new list has reached every entry proxy, some still claim at the former keepers; the second
                // handover includes these claims.
                executor.schedule(handOver, ClaimTimes.LIST_PROPAGATION_MILLIS, TimeUnit.MILLISECONDS);
            }
        });
        executor.scheduleWithFixedDelay(
                BackgroundTasks.guarded("claim collection", this::collectRecords),
                settings.claimTimeoutMillis(),
                COLLECTION_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    @Override
    public void stop() {
        executor.shutdownNow();
    }

    boolean isEnabled() {
        return enabled;
    }

    boolean isReady() {
        return table.isReady();
    }

    int recordCount() {
        return table.size();
    }

    KeeperVote claim(String key, String claimId, long requestDigest) {
        long nowMillis = MonotonicClock.millis();
        return proxyLists.isKeeper(self.name(), key, nowMillis)
                ? table.claim(key, claimId, requestDigest, nowMillis)
                : KeeperVote.of(ClaimState.NOT_READY);
    }

    void conclude(String key, String claimId, ClaimConclusion conclusion) {
        table.conclude(key, claimId, conclusion, MonotonicClock.millis());
    }

    void mergeRecords(List<ClaimRecord> records) {
        table.mergeRecords(records, MonotonicClock.millis());
    }

    List<ClaimRecord> recordsFor(String peerName) {
        List<Instance> proxies = new ArrayList<>(fleet.view().regionProxies());
        // A daemon that has just started may be missing from this daemon's list.
        boolean isListed = proxies.stream().anyMatch(proxy -> proxy.name().equals(peerName));
        List<ClaimRecord> records = table.records(MonotonicClock.millis());
        return isListed ? ClaimHandover.recordsFor(peerName, records, proxies) : records;
    }

    /** Stops voting and sends all records to the proxies that keep them after this daemon has stopped. */
    void handOverAll() {
        List<Instance> formerProxies = fleet.view().regionProxies();
        List<Instance> newProxies = formerProxies.stream()
                .filter(proxy -> !peerTransport.isSelf(proxy))
                .toList();
        table.setReady(false);
        handOver(formerProxies, newProxies);
    }

    private void handOver(List<Instance> formerProxies, List<Instance> newProxies) {
        List<ClaimRecord> records = table.records(MonotonicClock.millis());
        Map<String, List<ClaimRecord>> recordsByKeeper =
                ClaimHandover.planHandover(self.name(), records, formerProxies, newProxies);
        for (Instance keeper : newProxies) {
            List<ClaimRecord> keeperRecords = recordsByKeeper.getOrDefault(keeper.name(), List.of());
            for (int start = 0; start < keeperRecords.size(); start += RECORDS_PER_MESSAGE) {
                sendRecords(
                        keeper,
                        keeperRecords.subList(start, Math.min(keeperRecords.size(), start + RECORDS_PER_MESSAGE)));
            }
        }
    }

    private void sendRecords(Instance keeper, List<ClaimRecord> records) {
        for (int attempt = 1; attempt <= HAND_OVER_ATTEMPTS; attempt++) {
            try {
                peerTransport.call(keeper, "hand-over", RECORD_TRANSFER_TIMEOUT_MILLIS, client -> {
                    client.handOver(PeerMessageConverter.toMessages(records));
                    return true;
                });
                return;
            } catch (CassiabankException exception) {
                LOGGER.atWarning().log(
                        "handover of %d claim records failed, attempt %d: %s",
                        records.size(), attempt, exception.getMessage());
            }
        }
    }

    /**
     * Collects the records of the peers after a start. The table votes when all listed peers have answered: a claim may
     * have been granted by this daemon before its restart and by a single peer that does not answer now. Records older
     * than the retention time are obsolete, so voting starts after that time even if a peer does not answer.
     */
    private void collectRecords() {
        if (table.isReady()) {
            return;
        }
        boolean allPeersAnswered = true;
        List<Instance> proxies = fleet.view().regionProxies();
        for (Instance peer : proxies) {
            if (!peerTransport.isSelf(peer) && !collectedPeers.contains(peer.name())) {
                allPeersAnswered &= collectRecordsFrom(peer);
            }
        }
        long uptimeMillis = MonotonicClock.millis() - startMillis;
        boolean collectionComplete = allPeersAnswered && uptimeMillis >= settings.claimTimeoutMillis();
        if (!proxies.isEmpty() && (collectionComplete || uptimeMillis >= settings.retentionMillis())) {
            table.setReady(true);
            LOGGER.atInfo().log("ready to vote on claims with the records of %d peers", collectedPeers.size());
        }
    }

    private boolean collectRecordsFrom(Instance peer) {
        try {
            mergeRecords(PeerMessageConverter.toRecords(peerTransport.call(
                    peer, "records-for", RECORD_TRANSFER_TIMEOUT_MILLIS, client -> client.recordsFor(self.name()))));
            collectedPeers.add(peer.name());
            return true;
        } catch (CassiabankException exception) {
            return false;
        }
    }
}
