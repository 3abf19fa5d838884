package org.cassiabank.backend;

import java.util.Objects;
import org.cassiabank.health.AttemptOutcome;
import org.cassiabank.http.PrintableText;
import org.cassiabank.retry.AttemptResult;

/**
 * Bytes were written and no valid response was received: the request may have run.
 *
 * @param reason why there is no valid response
 * @param detail the observation behind the reason, as text for diagnosis; it may quote the server and is shortened to
 *     one printable line
 */
public record NoValidResponse(NoValidResponseReason reason, String detail) implements BackendResult {

    /**
     * Creates a result and shortens the detail.
     *
     * @throws NullPointerException if a component is null
     */
    public NoValidResponse {
        Objects.requireNonNull(reason, "reason");
        detail = PrintableText.abbreviate(Objects.requireNonNull(detail, "detail"));
    }

    @Override
    public AttemptOutcome outcome() {
        return switch (reason) {
            case REQUEST_ID_MISMATCH -> AttemptOutcome.FAILED;
            case TIMEOUT -> AttemptOutcome.OVERDUE;
            case CONNECTION_LOST, TRUNCATED_RESPONSE -> AttemptOutcome.BROKEN;
            case JOINED_RESPONSES, MALFORMED_HEAD, RESPONSE_TOO_LARGE -> AttemptOutcome.SPOILED;
        };
    }

    @Override
    public AttemptResult attemptResult() {
        return reason.attemptResult();
    }
}
