package org.cassiabank.load;

import java.util.Objects;

/**
 * An HTTP response as a caller received it, with the headers that decide its outcome.
 *
 * @param httpStatus the HTTP status
 * @param outcome the value of {@code Cassiabank-Outcome}, empty if absent
 * @param reason the value of {@code Cassiabank-Reason}, empty if absent
 * @param requestId the value of {@code Cassiabank-Request-Id}, empty if absent
 * @param notRun whether a backend server marked the request as not run
 * @param body the complete body
 */
public record ReceivedResponse(
        int httpStatus, String outcome, String reason, String requestId, boolean notRun, String body) {

    /**
     * Checks that no component is null.
     *
     * @throws NullPointerException if a component is null
     */
    public ReceivedResponse {
        Objects.requireNonNull(outcome, "outcome");
        Objects.requireNonNull(reason, "reason");
        Objects.requireNonNull(requestId, "requestId");
        Objects.requireNonNull(body, "body");
    }
}
