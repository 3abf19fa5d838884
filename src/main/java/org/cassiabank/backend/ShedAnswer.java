package org.cassiabank.backend;

import org.cassiabank.health.Outcome;
import org.cassiabank.retry.AttemptResult;

/**
 * The server refused the request with status 503 and {@code Cassiabank-Not-Run: true}: the request did not run.
 *
 * @param serverLeaving whether the server states that it is leaving
 */
public record ShedAnswer(boolean serverLeaving) implements BackendResult {

    @Override
    public Outcome outcome() {
        return Outcome.NOT_RUN;
    }

    @Override
    public AttemptResult attemptResult() {
        return AttemptResult.SHED;
    }
}
