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
 * Keeps claims of idempotency keys for the entries of the region, and hands them over when the list of proxies changes.
 */
final class ClaimKeeper implements KernelService {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int HAND_OVER_TIMEOUT_MILLIS = 2_000;
    private static final int RECORDS_PER_MESSAGE = 500;
    private static final int HAND_OVER_ATTEMPTS = 3;
    private static final long COLLECT_INTERVAL_MILLIS = 500;

    private final Instance self;
    private final FleetState fleet;
    private final PeerCaller peerCaller;
    private final ProxyListHistory lists;
    private final ClaimSettings settings = ClaimSettings.defaults();
    private final ClaimTable table = ClaimTable.create(settings);
    private final Set<String> collectedFrom = new HashSet<>();
    private final ScheduledExecutorService worker = Executors.newSingleThreadScheduledExecutor(
            Thread.ofPlatform().name("claim-handover").daemon().factory());
    private final boolean enabled;
    private long startMillis;

    private ClaimKeeper(
            Instance self, FleetState fleet, PeerCaller peerCaller, ProxyListHistory lists, boolean enabled) {
        this.self = self;
        this.fleet = fleet;
        this.peerCaller = peerCaller;
        this.lists = lists;
        this.enabled = enabled;
    }

    static ClaimKeeper create(
            Instance self, FleetState fleet, PeerCaller peerCaller, ProxyListHistory lists, boolean enabled) {
        return new ClaimKeeper(
                Objects.requireNonNull(self, "self"),
                Objects.requireNonNull(fleet, "fleet"),
                Objects.requireNonNull(peerCaller, "peerCaller"),
                Objects.requireNonNull(lists, "lists"),
                enabled);
    }

    @Override
    public void start(Kernel kernel) {
        if (!enabled) {
            return;
        }
        startMillis = MonotonicClock.millis();
        fleet.onChange((former, view) -> {
            if (!former.regionProxies().equals(view.regionProxies())) {
                lists.observe(view.regionProxies(), MonotonicClock.millis());
                Runnable handOver = PeriodicTasks.guarded(
                        "claim handover", () -> handOver(former.regionProxies(), view.regionProxies()));
                worker.execute(handOver);
                // Entries that still use the former list go on claiming at the former keepers until it has spread.
                worker.schedule(handOver, ClaimTimes.LIST_PROPAGATION_MILLIS, TimeUnit.MILLISECONDS);
            }
        });
        worker.scheduleWithFixedDelay(
                PeriodicTasks.guarded("claim collection", this::collect),
                settings.claimTimeoutMillis(),
                COLLECT_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    @Override
    public void stop() {
        worker.shutdownNow();
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

    KeeperVote claim(String key, String claim, long requestDigest) {
        long now = MonotonicClock.millis();
        return lists.isKeeper(self.name(), key, now)
                ? table.claim(key, claim, requestDigest, now)
                : KeeperVote.of(ClaimState.NOT_READY);
    }

    void conclude(String key, String claim, ClaimConclusion conclusion) {
        table.conclude(key, claim, conclusion, MonotonicClock.millis());
    }

    void accept(List<ClaimRecord> records) {
        table.mergeRecords(records, MonotonicClock.millis());
    }

    List<ClaimRecord> recordsFor(String peer) {
        List<Instance> proxies = new ArrayList<>(fleet.view().regionProxies());
        // A daemon that has just started may be missing from this daemon's list.
        boolean listed = proxies.stream().anyMatch(proxy -> proxy.name().equals(peer));
        List<ClaimRecord> records = table.records(MonotonicClock.millis());
        return listed ? ClaimHandover.recordsFor(peer, records, proxies) : records;
    }

    /** Gives all records to those who keep them once this daemon has gone. */
    void handOverAll() {
        List<Instance> before = fleet.view().regionProxies();
        List<Instance> after =
                before.stream().filter(proxy -> !peerCaller.isSelf(proxy)).toList();
        table.setReady(false);
        handOver(before, after);
    }

    private void handOver(List<Instance> before, List<Instance> after) {
        List<ClaimRecord> records = table.records(MonotonicClock.millis());
        Map<String, List<ClaimRecord>> plan = ClaimHandover.plan(self.name(), records, before, after);
        for (Instance keeper : after) {
            List<ClaimRecord> part = plan.getOrDefault(keeper.name(), List.of());
            for (int start = 0; start < part.size(); start += RECORDS_PER_MESSAGE) {
                send(keeper, part.subList(start, Math.min(part.size(), start + RECORDS_PER_MESSAGE)));
            }
        }
    }

    private void send(Instance keeper, List<ClaimRecord> records) {
        for (int attempt = 1; attempt <= HAND_OVER_ATTEMPTS; attempt++) {
            try {
                peerCaller.call(keeper, "hand-over", HAND_OVER_TIMEOUT_MILLIS, client -> {
                    client.handOver(PeerMessageConverter.toMessages(records));
                    return true;
                });
                return;
            } catch (CassiabankException exception) {
                LOGGER.atWarning().log(
                        "handover of %d claims, attempt %d: %s", records.size(), attempt, exception.getMessage());
            }
        }
    }

    /**
     * Collects the records of the peers after a start. The table votes when all listed peers have answered: a claim may
     * have been granted by this daemon before its restart and one other that is silent now. Records older than the
     * retention time matter no more, so silent peers cannot block voting for ever.
     */
    private void collect() {
        if (table.isReady()) {
            return;
        }
        boolean complete = true;
        List<Instance> proxies = fleet.view().regionProxies();
        for (Instance peer : proxies) {
            if (!peerCaller.isSelf(peer) && !collectedFrom.contains(peer.name())) {
                complete &= collectFrom(peer);
            }
        }
        long upMillis = MonotonicClock.millis() - startMillis;
        boolean collected = complete && upMillis >= settings.claimTimeoutMillis();
        if (!proxies.isEmpty() && (collected || upMillis >= settings.retentionMillis())) {
            table.setReady(true);
            LOGGER.atInfo().log("votes on claims, with records of %d peers", collectedFrom.size());
        }
    }

    private boolean collectFrom(Instance peer) {
        try {
            accept(PeerMessageConverter.toRecords(peerCaller.call(
                    peer, "records-for", HAND_OVER_TIMEOUT_MILLIS, client -> client.recordsFor(self.name()))));
            collectedFrom.add(peer.name());
            return true;
        } catch (CassiabankException exception) {
            return false;
        }
    }
}
