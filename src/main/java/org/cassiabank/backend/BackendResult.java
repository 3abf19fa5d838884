package org.cassiabank.backend;

import org.cassiabank.health.AttemptOutcome;
import org.cassiabank.retry.AttemptResult;

/**
 * How an attempt at a backend server ended.
 */
public sealed interface BackendResult permits ResponseReceived, RequestShed, NotSent, NoValidResponse, Cancelled {

    /**
     * Returns the result as it is reported to the owner of the shard.
     *
     * @return the outcome
     */
    AttemptOutcome outcome();

    /**
     * Returns the result as the retry policy needs it.
     *
     * @return the result of the attempt
     */
    AttemptResult attemptResult();
}
