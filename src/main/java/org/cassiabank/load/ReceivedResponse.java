package org.cassiabank.load;

import java.util.Objects;

/**
 * A response as a caller received it.
 *
 * @param status the HTTP status
 * @param outcome the value of {@code Cassiabank-Outcome}, empty if absent
 * @param reason the value of {@code Cassiabank-Reason}, empty if absent
 * @param requestId the value of {@code Cassiabank-Request-Id}, empty if absent
 * @param notRun whether a backend server marked the request as not run
 * @param body the whole body
 */
public record ReceivedResponse(
        int status, String outcome, String reason, String requestId, boolean notRun, String body) {

    /**
     * Checks that no component is null.
     */
    public ReceivedResponse {
        Objects.requireNonNull(outcome, "outcome");
        Objects.requireNonNull(reason, "reason");
        Objects.requireNonNull(requestId, "requestId");
        Objects.requireNonNull(body, "body");
    }
}
