package org.cassiabank.once;

import java.util.Objects;
import java.util.Optional;

/**
 * The vote of a keeper on a claim.
 *
 * @param state the state of the key at the keeper
 * @param response the recorded response, present exactly if the state is {@link ClaimState#ANSWERED}
 */
public record KeeperVote(ClaimState state, Optional<RecordedResponse> response) {

    /**
     * Creates a vote.
     *
     * @throws IllegalArgumentException if a response is missing with {@link ClaimState#ANSWERED} or present with
     *     another state
     */
    public KeeperVote {
        Objects.requireNonNull(state, "state");
        if (response.isPresent() != (state == ClaimState.ANSWERED)) {
            throw new IllegalArgumentException("response does not fit the state " + state);
        }
    }

    /**
     * Creates a vote without a response.
     *
     * @param state the state, not {@link ClaimState#ANSWERED}
     * @return the vote
     */
    public static KeeperVote of(ClaimState state) {
        return new KeeperVote(state, Optional.empty());
    }

    /**
     * Creates a vote for a key that has a recorded response.
     *
     * @param response the recorded response
     * @return the vote, with {@link ClaimState#ANSWERED}
     */
    public static KeeperVote answered(RecordedResponse response) {
        return new KeeperVote(ClaimState.ANSWERED, Optional.of(response));
    }
}
