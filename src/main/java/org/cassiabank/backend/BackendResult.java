package org.cassiabank.backend;

import org.cassiabank.admission.ServerNotice;
import org.cassiabank.health.AttemptOutcome;
import org.cassiabank.retry.AttemptResult;

/**
 * The result of an attempt at a request to a backend server.
 */
public sealed interface BackendResult permits ResponseReceived, RequestShed, NotSent, NoValidResponse, Cancelled {

    /**
     * Classifies the result for the report to the proxy that owns the shard.
     *
     * @return the outcome
     */
    AttemptOutcome outcome();

    /**
     * Classifies the result for the retry policy.
     *
     * @return the result of the attempt
     */
    AttemptResult attemptResult();

    /**
     * Returns what the response says about the server.
     *
     * @return the notice, {@link ServerNotice#none()} without a response
     */
    default ServerNotice notice() {
        return ServerNotice.none();
    }
}
