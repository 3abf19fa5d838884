package org.cassiabank.proxy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.cassiabank.kernel.CassiabankException;
import org.cassiabank.kernel.KernelService;
import org.cassiabank.membership.Instance;
import org.cassiabank.once.ClaimConclusion;
import org.cassiabank.once.ClaimDecision;
import org.cassiabank.once.ClaimQuorum;
import org.cassiabank.once.ClaimSettings;
import org.cassiabank.once.KeeperVote;
import org.cassiabank.once.ProxyListHistory;

/**
 * Claims idempotency keys at their keepers on behalf of the requests of this entry proxy.
 */
final class ClaimClient implements KernelService {
    private static final int CLAIM_TIMEOUT_MILLIS = 250;
    private static final int CONCLUDE_TIMEOUT_MILLIS = 1_000;
    private static final int CONCLUDE_ATTEMPTS = 3;

    private final PeerCaller peerCaller;
    private final ClaimKeeper ownKeeper;
    private final ExecutorService workers = Executors.newVirtualThreadPerTaskExecutor();
    private final ProxyListHistory lists;
    private final long claimTimeoutMillis = ClaimSettings.defaults().claimTimeoutMillis();

    private ClaimClient(PeerCaller peerCaller, ClaimKeeper ownKeeper, ProxyListHistory lists) {
        this.peerCaller = peerCaller;
        this.ownKeeper = ownKeeper;
        this.lists = lists;
    }

    static ClaimClient create(PeerCaller peerCaller, ClaimKeeper ownKeeper, ProxyListHistory lists) {
        return new ClaimClient(
                Objects.requireNonNull(peerCaller, "peerCaller"),
                Objects.requireNonNull(ownKeeper, "ownKeeper"),
                Objects.requireNonNull(lists, "lists"));
    }

    @Override
    public void stop() {
        workers.shutdown();
    }

    /**
     * Tells whether the keys of unrepeatable requests are claimed at all.
     *
     * @return false if the settings switch claims off
     */
    boolean isEnabled() {
        return ownKeeper.isEnabled();
    }

    /**
     * Tells whether this entry proxy knows the lists that others may still use, so that it can claim keys.
     *
     * @return false for some seconds after the start
     */
    boolean isReady() {
        return !ownKeeper.isEnabled() || lists.coversWindow(MonotonicClock.millis());
    }

    /**
     * Claims a key and releases the claim again unless it may proceed.
     *
     * @param key the key
     * @param claim the identifier of the claim, used for this call only
     * @param requestDigest the digest of the request
     * @return the claim with its decision
     */
    Claim claim(String key, String claim, long requestDigest) {
        long start = MonotonicClock.millis();
        if (!lists.coversWindow(start)) {
            return new Claim(key, claim, List.of(), new ClaimDecision.NotRun("entry-starting"));
        }
        List<List<Instance>> sets = lists.keeperSets(key, start);
        List<Instance> asked = distinct(sets);
        Map<String, CompletableFuture<Optional<KeeperVote>>> votes = new HashMap<>();
        for (Instance keeper : asked) {
            votes.put(
                    keeper.name(),
                    CompletableFuture.supplyAsync(() -> vote(keeper, key, claim, requestDigest), workers));
        }
        List<List<Optional<KeeperVote>>> votesOfSets = new ArrayList<>();
        for (List<Instance> set : sets) {
            votesOfSets.add(
                    set.stream().map(keeper -> votes.get(keeper.name()).join()).toList());
        }
        ClaimDecision decision = ClaimQuorum.decideAll(votesOfSets);
        if (decision instanceof ClaimDecision.Proceed && MonotonicClock.millis() - start > claimTimeoutMillis) {
            // A keeper may have lost its memory and voted for another claim since; this process may have been paused.
            decision = new ClaimDecision.NotRun("claim-late");
        }
        Claim result = new Claim(key, claim, asked, decision);
        if (!(decision instanceof ClaimDecision.Proceed)) {
            conclude(result, new ClaimConclusion.Released());
        }
        return result;
    }

    /**
     * Ends a claim at all keepers that were asked, without waiting for them.
     *
     * @param claim the claim
     * @param conclusion how it ended
     */
    void conclude(Claim claim, ClaimConclusion conclusion) {
        for (Instance keeper : claim.keepers()) {
            workers.execute(() -> concludeAt(keeper, claim.key(), claim.identifier(), conclusion));
        }
    }

    private Optional<KeeperVote> vote(Instance keeper, String key, String claim, long requestDigest) {
        if (peerCaller.isSelf(keeper)) {
            return Optional.of(ownKeeper.claim(key, claim, requestDigest));
        }
        try {
            return Optional.of(PeerMessageConverter.toVote(peerCaller.call(
                    keeper, "claim", CLAIM_TIMEOUT_MILLIS, client -> client.claim(key, claim, requestDigest))));
        } catch (CassiabankException exception) {
            return Optional.empty();
        }
    }

    private void concludeAt(Instance keeper, String key, String claim, ClaimConclusion conclusion) {
        if (peerCaller.isSelf(keeper)) {
            ownKeeper.conclude(key, claim, conclusion);
            return;
        }
        for (int attempt = 1; attempt <= CONCLUDE_ATTEMPTS; attempt++) {
            try {
                peerCaller.call(keeper, "conclude", CONCLUDE_TIMEOUT_MILLIS, client -> {
                    client.conclude(key, claim, PeerMessageConverter.toMessage(conclusion), answerOf(conclusion));
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
                ? PeerMessageConverter.toMessage(answered.response())
                : null;
    }

    private static List<Instance> distinct(List<List<Instance>> sets) {
        Map<String, Instance> keepers = new HashMap<>();
        sets.forEach(set -> set.forEach(keeper -> keepers.put(keeper.name(), keeper)));
        return List.copyOf(keepers.values());
    }

    /**
     * A claim of a key.
     *
     * @param key the key
     * @param identifier the identifier of the claim
     * @param keepers the keepers that were asked
     * @param decision whether the request may be sent
     */
    record Claim(String key, String identifier, List<Instance> keepers, ClaimDecision decision) {}
}
