package org.cassiabank.backend;

import org.cassiabank.health.AttemptOutcome;
import org.cassiabank.retry.AttemptResult;

/**
 * The attempt was cancelled, or its thread was interrupted.
 *
 * @param written whether bytes may have been written, so that the request may have run
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
