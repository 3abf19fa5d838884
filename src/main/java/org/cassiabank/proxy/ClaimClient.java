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
 * Claims idempotency keys at their keepers for the requests of this entry proxy.
 */
final class ClaimClient implements KernelService {
    private static final int CLAIM_CALL_TIMEOUT_MILLIS = 250;
    private static final int CONCLUDE_CALL_TIMEOUT_MILLIS = 1_000;
    private static final int CONCLUDE_ATTEMPTS = 3;

    private final PeerTransport peerTransport;
    private final ClaimKeeper ownKeeper;
    private final ExecutorService workers = Executors.newVirtualThreadPerTaskExecutor();
    private final ProxyListHistory proxyLists;
    private final long claimTimeoutMillis = ClaimSettings.defaults().claimTimeoutMillis();

    private ClaimClient(PeerTransport peerTransport, ClaimKeeper ownKeeper, ProxyListHistory proxyLists) {
        this.peerTransport = peerTransport;
        this.ownKeeper = ownKeeper;
        this.proxyLists = proxyLists;
    }

    static ClaimClient create(PeerTransport peerTransport, ClaimKeeper ownKeeper, ProxyListHistory proxyLists) {
        return new ClaimClient(
                Objects.requireNonNull(peerTransport, "peerTransport"),
                Objects.requireNonNull(ownKeeper, "ownKeeper"),
                Objects.requireNonNull(proxyLists, "proxyLists"));
    }

    @Override
    public void stop() {
        workers.shutdown();
    }

    /**
     * Tells whether the keys of unrepeatable requests are claimed.
     *
     * @return false if claims are disabled in the settings
     */
    boolean isEnabled() {
        return ownKeeper.isEnabled();
    }

    /**
     * Tells whether this entry proxy has every proxy list that other proxies may still use, so that it can claim keys.
     *
     * @return false for some seconds after the start; always true if claims are disabled
     */
    boolean isReady() {
        return !ownKeeper.isEnabled() || proxyLists.coversWindow(MonotonicClock.millis());
    }

    /**
     * Claims a key at its keepers and waits for their votes. Unless the request may proceed, the claim is released.
     *
     * @param key the key
     * @param claimId the identifier of the claim, used for this call only
     * @param requestDigest the digest of the request, by which keepers detect that a key is used for another request
     * @return the claim with its decision; not run if the proxy lists are incomplete after a start or the votes came
     *     later than the claim timeout
     */
    Claim claim(String key, String claimId, long requestDigest) {
        long startMillis = MonotonicClock.millis();
        if (!proxyLists.coversWindow(startMillis)) {
            return new Claim(key, claimId, List.of(), new ClaimDecision.NotRun("entry-starting"));
        }
        List<List<Instance>> keeperSets = proxyLists.keeperSets(key, startMillis);
        List<Instance> keepers = distinctKeepers(keeperSets);
        Map<String, CompletableFuture<Optional<KeeperVote>>> votesByKeeper = new HashMap<>();
        for (Instance keeper : keepers) {
            votesByKeeper.put(
                    keeper.name(),
                    CompletableFuture.supplyAsync(() -> requestVote(keeper, key, claimId, requestDigest), workers));
        }
        List<List<Optional<KeeperVote>>> votesByKeeperSet = new ArrayList<>();
        for (List<Instance> keeperSet : keeperSets) {
            votesByKeeperSet.add(keeperSet.stream()
                    .map(keeper -> votesByKeeper.get(keeper.name()).join())
                    .toList());
        }
        ClaimDecision decision = ClaimQuorum.decideAll(votesByKeeperSet);
        if (decision instanceof ClaimDecision.Proceed && MonotonicClock.millis() - startMillis > claimTimeoutMillis) {
            // This process may have been paused. Meanwhile a keeper may have lost its records and granted another
            // claim.
            decision = new ClaimDecision.NotRun("claim-late");
        }
        Claim result = new Claim(key, claimId, keepers, decision);
        if (!(decision instanceof ClaimDecision.Proceed)) {
            conclude(result, new ClaimConclusion.Released());
        }
        return result;
    }

    /**
     * Concludes a claim at all keepers that were asked to vote, without waiting for them.
     *
     * @param claim the claim
     * @param conclusion the conclusion that the keepers record
     */
    void conclude(Claim claim, ClaimConclusion conclusion) {
        for (Instance keeper : claim.keepers()) {
            workers.execute(() -> concludeAt(keeper, claim.key(), claim.claimId(), conclusion));
        }
    }

    private Optional<KeeperVote> requestVote(Instance keeper, String key, String claimId, long requestDigest) {
        if (peerTransport.isSelf(keeper)) {
            return Optional.of(ownKeeper.claim(key, claimId, requestDigest));
        }
        try {
            return Optional.of(PeerMessageConverter.toVote(peerTransport.call(
                    keeper, "claim", CLAIM_CALL_TIMEOUT_MILLIS, client -> client.claim(key, claimId, requestDigest))));
        } catch (CassiabankException exception) {
            return Optional.empty();
        }
    }

    private void concludeAt(Instance keeper, String key, String claimId, ClaimConclusion conclusion) {
        if (peerTransport.isSelf(keeper)) {
            ownKeeper.conclude(key, claimId, conclusion);
            return;
        }
        for (int attempt = 1; attempt <= CONCLUDE_ATTEMPTS; attempt++) {
            try {
                peerTransport.call(keeper, "conclude", CONCLUDE_CALL_TIMEOUT_MILLIS, client -> {
                    client.conclude(
                            key, claimId, PeerMessageConverter.toMessage(conclusion), toRecordedAnswer(conclusion));
                    return true;
                });
                return;
            } catch (CassiabankException exception) {
                // A claim that is never concluded becomes an unknown outcome at the keeper.
                continue;
            }
        }
    }

    private static org.cassiabank.peer.generated.RecordedAnswer toRecordedAnswer(ClaimConclusion conclusion) {
        return conclusion instanceof ClaimConclusion.Answered answered
                ? PeerMessageConverter.toMessage(answered.response())
                : null;
    }

    private static List<Instance> distinctKeepers(List<List<Instance>> keeperSets) {
        Map<String, Instance> keepers = new HashMap<>();
        keeperSets.forEach(keeperSet -> keeperSet.forEach(keeper -> keepers.put(keeper.name(), keeper)));
        return List.copyOf(keepers.values());
    }

    /**
     * A claim of a key with the decision on it.
     *
     * @param key the key
     * @param claimId the identifier of the claim
     * @param keepers the keepers that were asked to vote
     * @param decision whether the request may be sent, and what the caller gets otherwise
     */
    record Claim(String key, String claimId, List<Instance> keepers, ClaimDecision decision) {}
}
