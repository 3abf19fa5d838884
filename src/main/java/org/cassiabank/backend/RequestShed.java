package org.cassiabank.backend;

import java.util.Objects;
import org.cassiabank.admission.ServerNotice;
import org.cassiabank.health.AttemptOutcome;
import org.cassiabank.retry.AttemptResult;

/**
 * The server refused the request with a response that proves that the request did not run. By default that is status
 * 503 with {@code Cassiabank-Not-Run: true}; see {@link HeaderConventions#provesNotRun}.
 *
 * @param notice what the response says about the server
 */
public record RequestShed(ServerNotice notice) implements BackendResult {

    /**
     * Checks the notice.
     *
     * @throws NullPointerException if the notice is null
     */
    public RequestShed {
        Objects.requireNonNull(notice, "notice");
    }

    @Override
    public AttemptOutcome outcome() {
        return AttemptOutcome.NOT_RUN;
    }

    @Override
    public AttemptResult attemptResult() {
        return AttemptResult.SHED;
    }
}
