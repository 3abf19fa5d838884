package org.cassiabank.backend;

import org.cassiabank.health.Outcome;
import org.cassiabank.retry.AttemptResult;

/**
 * How an attempt at a backend server ended.
 */
public sealed interface BackendResult permits Answered, ShedAnswer, NotSent, Broken, Cancelled {

    /**
     * Returns the result as it is reported to the owner of the shard.
     *
     * @return the outcome
     */
    Outcome outcome();

    /**
     * Returns the result as the attempt policy needs it.
     *
     * @return the result of the attempt
     */
    AttemptResult attemptResult();
}
