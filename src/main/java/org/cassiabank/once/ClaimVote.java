package org.cassiabank.once;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Decides from the votes of a key's keepers whether a request may be sent.
 */
public final class ClaimVote {
    /** The number of keepers of a key. */
    public static final int KEEPERS = 3;

    /** Any two sets of this many among three keepers have a keeper in common. */
    public static final int QUORUM = 2;

    private ClaimVote() {}

    /**
     * Decides from the votes of one set of keepers.
     *
     * @param votes the votes, empty for a keeper that did not answer in time
     * @return the verdict
     */
    public static ClaimVerdict decide(List<Optional<ClaimAnswer>> votes) {
        Map<ClaimState, Integer> counts = new EnumMap<>(ClaimState.class);
        for (Optional<ClaimAnswer> vote : votes) {
            vote.ifPresent(answer -> counts.merge(answer.state(), 1, Integer::sum));
        }
        if (counts.containsKey(ClaimState.MISMATCH)) {
            return new ClaimVerdict.Mismatch();
        }
        for (Optional<ClaimAnswer> vote : votes) {
            if (vote.isPresent() && vote.get().answer().isPresent()) {
                return new ClaimVerdict.Replay(vote.get().answer().get());
            }
        }
        if (counts.containsKey(ClaimState.UNKNOWN)) {
            return new ClaimVerdict.Unknown();
        }
        // A fleet of a single proxy has one keeper, which is then the only one that can hold the key.
        int quorum = Math.min(QUORUM, votes.size());
        int granted = counts.getOrDefault(ClaimState.GRANTED, 0);
        if (counts.containsKey(ClaimState.IN_PROGRESS)) {
            // With a quorum of its own the claim knows that the other one has none.
            return granted >= quorum ? new ClaimVerdict.NotRun("claim-split") : new ClaimVerdict.InProgress();
        }
        if (granted >= quorum) {
            return new ClaimVerdict.Proceed();
        }
        return new ClaimVerdict.NotRun(
                counts.containsKey(ClaimState.NOT_READY) ? "keepers-not-ready" : "keepers-unreachable");
    }

    /**
     * Decides from the votes of several sets of keepers, which an entry asks while a change of the proxies' list may
     * not have reached every other entry. A request may be sent only if each set allows it.
     *
     * @param votesOfSets the votes of each set, not empty; a keeper that belongs to several sets votes in each
     * @return the verdict of all votes
     */
    public static ClaimVerdict decideAll(List<List<Optional<ClaimAnswer>>> votesOfSets) {
        if (votesOfSets.isEmpty()) {
            throw new IllegalArgumentException("no set of keepers");
        }
        ClaimVerdict worst = new ClaimVerdict.Proceed();
        for (List<Optional<ClaimAnswer>> votes : votesOfSets) {
            ClaimVerdict verdict = decide(votes);
            if (rank(verdict) > rank(worst)) {
                worst = verdict;
            }
        }
        return worst;
    }

    private static int rank(ClaimVerdict verdict) {
        return switch (verdict) {
            case ClaimVerdict.Proceed proceed -> 0;
            case ClaimVerdict.NotRun notRun -> 1;
            case ClaimVerdict.InProgress inProgress -> 2;
            case ClaimVerdict.Unknown unknown -> 3;
            case ClaimVerdict.Replay replay -> 4;
            case ClaimVerdict.Mismatch mismatch -> 5;
        };
    }
}
