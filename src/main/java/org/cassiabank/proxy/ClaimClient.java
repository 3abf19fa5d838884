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
import org.cassiabank.once.ClaimAnswer;
import org.cassiabank.once.ClaimConclusion;
import org.cassiabank.once.ClaimSettings;
import org.cassiabank.once.ClaimVerdict;
import org.cassiabank.once.ClaimVote;
import org.cassiabank.once.ProxyListHistory;

/**
 * Claims idempotency keys at their keepers on behalf of the requests of this entry.
 */
final class ClaimClient implements KernelService {
    private static final int CLAIM_TIMEOUT_MILLIS = 250;
    private static final int CONCLUDE_TIMEOUT_MILLIS = 1_000;
    private static final int CONCLUDE_ATTEMPTS = 3;

    private final PeerDirectory peers;
    private final ClaimKeeper ownKeeper;
    private final ExecutorService workers = Executors.newVirtualThreadPerTaskExecutor();
    private final ProxyListHistory lists;
    private final long claimMillis = ClaimSettings.defaults().claimMillis();

    private ClaimClient(PeerDirectory peers, ClaimKeeper ownKeeper, ProxyListHistory lists) {
        this.peers = peers;
        this.ownKeeper = ownKeeper;
        this.lists = lists;
    }

    static ClaimClient create(PeerDirectory peers, ClaimKeeper ownKeeper, ProxyListHistory lists) {
        return new ClaimClient(
                Objects.requireNonNull(peers, "peers"),
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
     * Tells whether this entry knows the lists that others may still use, so that it can claim keys.
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
     * @return the claim with its verdict
     */
    Claim claim(String key, String claim, long requestDigest) {
        long start = MonotonicClock.millis();
        if (!lists.coversWindow(start)) {
            return new Claim(key, claim, List.of(), new ClaimVerdict.NotRun("entry-starting"));
        }
        List<List<Instance>> sets = lists.keeperSets(key, start);
        List<Instance> asked = distinct(sets);
        Map<String, CompletableFuture<Optional<ClaimAnswer>>> votes = new HashMap<>();
        for (Instance keeper : asked) {
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
        if (verdict instanceof ClaimVerdict.Proceed && MonotonicClock.millis() - start > claimMillis) {
            // A keeper may have lost its memory and voted for another claim since; this process may have been paused.
            verdict = new ClaimVerdict.NotRun("claim-late");
        }
        Claim result = new Claim(key, claim, asked, verdict);
        if (!(verdict instanceof ClaimVerdict.Proceed)) {
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
     * @param verdict whether the request may be sent
     */
    record Claim(String key, String identifier, List<Instance> keepers, ClaimVerdict verdict) {}
}
