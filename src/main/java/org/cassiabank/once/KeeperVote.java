package org.cassiabank.once;

import java.util.Objects;
import java.util.Optional;

/**
 * The vote of a keeper.
 *
 * @param state what the keeper says
 * @param response the recorded response, present exactly if the state is {@link ClaimState#ANSWERED}
 */
public record KeeperVote(ClaimState state, Optional<RecordedResponse> response) {

    /**
     * Checks that there is a response exactly if the state says so.
     */
    public KeeperVote {
        Objects.requireNonNull(state, "state");
        if (response.isPresent() != (state == ClaimState.ANSWERED)) {
            throw new IllegalArgumentException("answer does not fit the state " + state);
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
     * Creates a vote with a recorded response.
     *
     * @param response the response
     * @return the vote
     */
    public static KeeperVote answered(RecordedResponse response) {
        return new KeeperVote(ClaimState.ANSWERED, Optional.of(response));
    }
}
