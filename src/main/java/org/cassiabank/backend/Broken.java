package org.cassiabank.backend;

import java.util.Objects;
import org.cassiabank.health.Outcome;
import org.cassiabank.retry.AttemptResult;

/**
 * Bytes were written and no usable answer came: the request may have run.
 *
 * @param reason what is wrong
 * @param detail what was seen, for diagnosis
 */
public record Broken(BrokenReason reason, String detail) implements BackendResult {

    /**
     * Checks that no component is null.
     */
    public Broken {
        Objects.requireNonNull(reason, "reason");
        Objects.requireNonNull(detail, "detail");
    }

    @Override
    public Outcome outcome() {
        return switch (reason) {
            case WRONG_REQUEST_ID -> Outcome.FAILED;
            case TIMEOUT -> Outcome.OVERDUE;
            case CONNECTION_LOST, CUT_ANSWER, ANSWER_TOO_LARGE -> Outcome.BROKEN;
        };
    }

    @Override
    public AttemptResult attemptResult() {
        return reason.attemptResult();
    }
}
