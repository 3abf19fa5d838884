package org.cassiabank.backend;

import java.util.Objects;
import org.cassiabank.health.AttemptOutcome;
import org.cassiabank.retry.AttemptResult;

/**
 * The connection was not opened or no byte was written to it: the request did not run.
 *
 * @param detail the failure, as text for diagnosis
 */
public record NotSent(String detail) implements BackendResult {

    /**
     * Creates a result.
     *
     * @throws NullPointerException if the detail is null
     */
    public NotSent {
        Objects.requireNonNull(detail, "detail");
    }

    @Override
    public AttemptOutcome outcome() {
        return AttemptOutcome.NOT_RUN;
    }

    @Override
    public AttemptResult attemptResult() {
        return AttemptResult.NOT_SENT;
    }
}
