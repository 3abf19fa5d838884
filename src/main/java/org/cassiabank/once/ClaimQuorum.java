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

    /** The number of grants that a claim needs; any two sets of two among three keepers have a keeper in common. */
    public static final int QUORUM = 2;

    private ClaimQuorum() {}

    /**
     * Decides from the votes of one set of keepers.
     *
     * @param votes one vote for each keeper, empty for a keeper that did not vote in time
     * @return the decision
     */
    public static ClaimDecision decide(List<Optional<KeeperVote>> votes) {
        Map<ClaimState, Integer> votesByState = new EnumMap<>(ClaimState.class);
        for (Optional<KeeperVote> vote : votes) {
            vote.ifPresent(present -> votesByState.merge(present.state(), 1, Integer::sum));
        }
        if (votesByState.containsKey(ClaimState.MISMATCH)) {
            return new ClaimDecision.Mismatch();
        }
        for (Optional<KeeperVote> vote : votes) {
            if (vote.isPresent() && vote.get().response().isPresent()) {
                return new ClaimDecision.Replay(vote.get().response().get());
            }
        }
        if (votesByState.containsKey(ClaimState.UNKNOWN)) {
            return new ClaimDecision.EarlierOutcomeUnknown();
        }
        // A fleet of one proxy has a single keeper, whose vote is then a quorum.
        int quorum = Math.min(QUORUM, votes.size());
        int grantedVotes = votesByState.getOrDefault(ClaimState.GRANTED, 0);
        if (votesByState.containsKey(ClaimState.IN_PROGRESS)) {
            // With a quorum for this claim the other claim cannot have one.
            return grantedVotes >= quorum ? new ClaimDecision.NotRun("claim-split") : new ClaimDecision.InProgress();
        }
        if (grantedVotes >= quorum) {
            return new ClaimDecision.Proceed();
        }
        return new ClaimDecision.NotRun(
                votesByState.containsKey(ClaimState.NOT_READY) ? "keepers-not-ready" : "keepers-unreachable");
    }

    /**
     * Decides from the votes of several sets of keepers. An entry proxy asks several sets while a change of the list of
     * proxies may not have reached every other entry proxy. The request may be sent only if each set allows it.
     *
     * @param votesOfSets the votes of each set, not empty; a keeper that belongs to several sets votes in each
     * @return the decision of the set that restricts the request most
     * @throws IllegalArgumentException if there is no set
     */
    public static ClaimDecision decideAll(List<List<Optional<KeeperVote>>> votesOfSets) {
        if (votesOfSets.isEmpty()) {
            throw new IllegalArgumentException("no set of keepers");
        }
        ClaimDecision strictest = new ClaimDecision.Proceed();
        for (List<Optional<KeeperVote>> votes : votesOfSets) {
            ClaimDecision decision = decide(votes);
            if (precedence(decision) > precedence(strictest)) {
                strictest = decision;
            }
        }
        return strictest;
    }

    private static int precedence(ClaimDecision decision) {
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
