package org.cassiabank.once;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Decides from the votes of a key's keepers whether a request may be sent.
 */
public final class ClaimQuorum {
    /** The number of keepers of a key. */
    public static final int KEEPERS = 3;

    /** Any two sets of this many among three keepers have a keeper in common. */
    public static final int QUORUM = 2;

    private ClaimQuorum() {}

    /**
     * Decides from the votes of one set of keepers.
     *
     * @param votes the votes, empty for a keeper that did not answer in time
     * @return the decision
     */
    public static ClaimDecision decide(List<Optional<KeeperVote>> votes) {
        Map<ClaimState, Integer> counts = new EnumMap<>(ClaimState.class);
        for (Optional<KeeperVote> vote : votes) {
            vote.ifPresent(answer -> counts.merge(answer.state(), 1, Integer::sum));
        }
        if (counts.containsKey(ClaimState.MISMATCH)) {
            return new ClaimDecision.Mismatch();
        }
        for (Optional<KeeperVote> vote : votes) {
            if (vote.isPresent() && vote.get().response().isPresent()) {
                return new ClaimDecision.Replay(vote.get().response().get());
            }
        }
        if (counts.containsKey(ClaimState.UNKNOWN)) {
            return new ClaimDecision.EarlierOutcomeUnknown();
        }
        // A fleet of a single proxy has one keeper, which is then the only one that can hold the key.
        int quorum = Math.min(QUORUM, votes.size());
        int granted = counts.getOrDefault(ClaimState.GRANTED, 0);
        if (counts.containsKey(ClaimState.IN_PROGRESS)) {
            // With a quorum of its own the claim knows that the other one has none.
            return granted >= quorum ? new ClaimDecision.NotRun("claim-split") : new ClaimDecision.InProgress();
        }
        if (granted >= quorum) {
            return new ClaimDecision.Proceed();
        }
        return new ClaimDecision.NotRun(
                counts.containsKey(ClaimState.NOT_READY) ? "keepers-not-ready" : "keepers-unreachable");
    }

    /**
     * Decides from the votes of several sets of keepers, which an entry proxy asks while a change of the proxies' list
     * may not have reached every other entry proxy. A request may be sent only if each set allows it.
     *
     * @param votesOfSets the votes of each set, not empty; a keeper that belongs to several sets votes in each
     * @return the decision of all votes
     */
    public static ClaimDecision decideAll(List<List<Optional<KeeperVote>>> votesOfSets) {
        if (votesOfSets.isEmpty()) {
            throw new IllegalArgumentException("no set of keepers");
        }
        ClaimDecision worst = new ClaimDecision.Proceed();
        for (List<Optional<KeeperVote>> votes : votesOfSets) {
            ClaimDecision decision = decide(votes);
            if (rank(decision) > rank(worst)) {
                worst = decision;
            }
        }
        return worst;
    }

    private static int rank(ClaimDecision decision) {
        return switch (decision) {
            case ClaimDecision.Proceed proceed -> 0;
            case ClaimDecision.NotRun notRun -> 1;
            case ClaimDecision.InProgress inProgress -> 2;
            case ClaimDecision.EarlierOutcomeUnknown unknown -> 3;
            case ClaimDecision.Replay replay -> 4;
            case ClaimDecision.Mismatch mismatch -> 5;
        };
    }
}
