package org.cassiabank.backend;

import org.cassiabank.health.AttemptOutcome;
import org.cassiabank.retry.AttemptResult;

/**
 * The server refused the request with a response that proves that the request did not run. By default that is status
 * 503 with {@code Cassiabank-Not-Run: true}; see {@link HeaderConventions#provesNotRun}.
 *
 * @param serverLeaving whether the response states that the server is leaving the fleet
 */
public record RequestShed(boolean serverLeaving) implements BackendResult {

    @Override
    public AttemptOutcome outcome() {
        return AttemptOutcome.NOT_RUN;
    }

    @Override
    public AttemptResult attemptResult() {
        return AttemptResult.SHED;
    }
}
