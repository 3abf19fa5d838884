package org.cassiabank.proxy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.cassiabank.kernel.CassiabankException;
import org.cassiabank.kernel.Kernel;
import org.cassiabank.kernel.KernelService;
import org.cassiabank.membership.Instance;
import org.cassiabank.once.ClaimAnswer;
import org.cassiabank.once.ClaimConclusion;
import org.cassiabank.once.ClaimHandover;
import org.cassiabank.once.ClaimVerdict;
import org.cassiabank.once.ClaimVote;

/**
 * Claims idempotency keys at their keepers on behalf of the requests of this entry.
 */
final class ClaimClient implements KernelService {
    private static final int CLAIM_TIMEOUT_MILLIS = 250;
    private static final int CONCLUDE_TIMEOUT_MILLIS = 1_000;
    private static final int CONCLUDE_ATTEMPTS = 3;
    /** Other entries may use a list that is older by this time, so a claim also has to win under that list. */
    private static final long RECENT_LIST_MILLIS = 10_000;

    private final FleetState fleet;
    private final PeerDirectory peers;
    private final ClaimKeeper ownKeeper;
    private final ExecutorService workers = Executors.newVirtualThreadPerTaskExecutor();
    private final Deque<FormerList> formerLists = new ArrayDeque<>();

    private ClaimClient(FleetState fleet, PeerDirectory peers, ClaimKeeper ownKeeper) {
        this.fleet = fleet;
        this.peers = peers;
        this.ownKeeper = ownKeeper;
    }

    static ClaimClient create(FleetState fleet, PeerDirectory peers, ClaimKeeper ownKeeper) {
        return new ClaimClient(
                Objects.requireNonNull(fleet, "fleet"),
                Objects.requireNonNull(peers, "peers"),
                Objects.requireNonNull(ownKeeper, "ownKeeper"));
    }

    @Override
    public void start(Kernel kernel) {
        fleet.onChange((former, view) -> {
            if (!former.regionProxies().equals(view.regionProxies())
                    && !former.regionProxies().isEmpty()) {
                synchronized (formerLists) {
                    formerLists.addLast(new FormerList(former.regionProxies(), MonotonicClock.millis()));
                }
            }
        });
    }

    @Override
    public void stop() {
        workers.shutdown();
    }

    /**
     * Claims a key and releases the claim again unless it may proceed.
     *
     * @param key the key
     * @param claim the identifier of the claim
     * @param requestDigest the digest of the request
     * @return the verdict
     */
    ClaimVerdict claim(String key, String claim, long requestDigest) {
        List<List<Instance>> sets = keeperSets(key);
        Map<String, CompletableFuture<Optional<ClaimAnswer>>> votes = new HashMap<>();
        for (Instance keeper : distinct(sets)) {
            votes.put(
                    keeper.name(),
                    CompletableFuture.supplyAsync(() -> vote(keeper, key, claim, requestDigest), workers));
        }
        List<List<Optional<ClaimAnswer>>> votesOfSets = new ArrayList<>();
        for (List<Instance> set : sets) {
            votesOfSets.add(
                    set.stream().map(keeper -> votes.get(keeper.name()).join()).toList());
        }
        ClaimVerdict verdict = ClaimVote.decideAll(votesOfSets);
        if (!(verdict instanceof ClaimVerdict.Proceed)) {
            conclude(key, claim, new ClaimConclusion.Released());
        }
        return verdict;
    }

    /**
     * Ends a claim at all keepers, without waiting for them.
     *
     * @param key the key
     * @param claim the identifier of the claim
     * @param conclusion how it ended
     */
    void conclude(String key, String claim, ClaimConclusion conclusion) {
        for (Instance keeper : distinct(keeperSets(key))) {
            workers.execute(() -> concludeAt(keeper, key, claim, conclusion));
        }
    }

    private Optional<ClaimAnswer> vote(Instance keeper, String key, String claim, long requestDigest) {
        if (peers.isSelf(keeper)) {
            return Optional.of(ownKeeper.claim(key, claim, requestDigest));
        }
        try {
            return Optional.of(PeerMessages.toAnswer(peers.call(
                    keeper, "claim", CLAIM_TIMEOUT_MILLIS, client -> client.claim(key, claim, requestDigest))));
        } catch (CassiabankException exception) {
            return Optional.empty();
        }
    }

    private void concludeAt(Instance keeper, String key, String claim, ClaimConclusion conclusion) {
        if (peers.isSelf(keeper)) {
            ownKeeper.conclude(key, claim, conclusion);
            return;
        }
        for (int attempt = 1; attempt <= CONCLUDE_ATTEMPTS; attempt++) {
            try {
                peers.call(keeper, "conclude", CONCLUDE_TIMEOUT_MILLIS, client -> {
                    client.conclude(key, claim, PeerMessages.toMessage(conclusion), answerOf(conclusion));
                    return true;
                });
                return;
            } catch (CassiabankException exception) {
                // A claim that is never concluded turns into an unknown outcome at the keeper.
                continue;
            }
        }
    }

    private static org.cassiabank.peer.generated.RecordedAnswer answerOf(ClaimConclusion conclusion) {
        return conclusion instanceof ClaimConclusion.Answered answered
                ? PeerMessages.toMessage(answered.answer())
                : null;
    }

    private List<List<Instance>> keeperSets(String key) {
        List<List<Instance>> lists = new ArrayList<>();
        lists.add(fleet.view().regionProxies());
        synchronized (formerLists) {
            long oldest = MonotonicClock.millis() - RECENT_LIST_MILLIS;
            formerLists.removeIf(former -> former.untilMillis() < oldest);
            formerLists.forEach(former -> lists.add(former.proxies()));
        }
        return ClaimHandover.keeperSets(key, lists);
    }

    private static List<Instance> distinct(List<List<Instance>> sets) {
        Map<String, Instance> keepers = new HashMap<>();
        sets.forEach(set -> set.forEach(keeper -> keepers.put(keeper.name(), keeper)));
        return List.copyOf(keepers.values());
    }

    /** The proxies of the region as they were until a moment on the monotonic clock. */
    private record FormerList(List<Instance> proxies, long untilMillis) {}
}
