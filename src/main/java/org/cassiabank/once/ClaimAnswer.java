package org.cassiabank.once;

import java.util.Objects;
import java.util.Optional;

/**
 * The vote of a keeper.
 *
 * @param state what the keeper says
 * @param answer the recorded answer, present exactly if the state is {@link ClaimState#ANSWERED}
 */
public record ClaimAnswer(ClaimState state, Optional<RecordedAnswer> answer) {

    /**
     * Checks that there is an answer exactly if the state says so.
     */
    public ClaimAnswer {
        Objects.requireNonNull(state, "state");
        if (answer.isPresent() != (state == ClaimState.ANSWERED)) {
            throw new IllegalArgumentException("answer does not fit the state " + state);
        }
    }

    /**
     * Creates a vote without an answer.
     *
     * @param state the state, not {@link ClaimState#ANSWERED}
     * @return the vote
     */
    public static ClaimAnswer of(ClaimState state) {
        return new ClaimAnswer(state, Optional.empty());
    }

    /**
     * Creates a vote with a recorded answer.
     *
     * @param answer the answer
     * @return the vote
     */
    public static ClaimAnswer answered(RecordedAnswer answer) {
        return new ClaimAnswer(ClaimState.ANSWERED, Optional.of(answer));
    }
}
