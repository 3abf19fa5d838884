package org.cassiabank.backend;

import org.cassiabank.health.AttemptOutcome;
import org.cassiabank.retry.AttemptResult;

/**
 * The entry proxy cancelled the attempt, or the thread of the attempt was interrupted.
 *
 * @param written whether bytes may have been written; if so, the request may have run
 */
public record Cancelled(boolean written) implements BackendResult {

    @Override
    public AttemptOutcome outcome() {
        return AttemptOutcome.CANCELLED;
    }

    @Override
    public AttemptResult attemptResult() {
        return written ? AttemptResult.CANCELLED : AttemptResult.CANCELLED_UNSENT;
    }
}
