package org.cassiabank.backend;

import org.cassiabank.health.AttemptOutcome;
import org.cassiabank.retry.AttemptResult;

/**
 * The server refused the request with status 503 and {@code Cassiabank-Not-Run: true}: the request did not run.
 *
 * @param serverLeaving whether the server states that it is leaving
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
