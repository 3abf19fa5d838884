package org.cassiabank.backend;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.cassiabank.admission.ServerNotice;
import org.cassiabank.health.AttemptOutcome;
import org.cassiabank.retry.AttemptResult;

/**
 * The server sent a complete response to this request.
 *
 * @param status the HTTP status
 * @param headers the end-to-end headers, with names in the spelling of the server
 * @param body the complete body, not decompressed and not copied
 * @param notice what the response says about the server
 * @param unprovenRefusal whether callers take the status for a promise that the request has not run, which nothing in
 *     the response proves
 * @param observation what was seen of the status line and the connection, for log lines; empty if a peer has passed the
 *     response on
 */
public record ResponseReceived(
        int status,
        Map<String, List<String>> headers,
        byte[] body,
        ServerNotice notice,
        boolean unprovenRefusal,
        String observation)
        implements BackendResult {

    /**
     * Copies the headers; the body is shared.
     *
     * @throws NullPointerException if a component is null
     */
    public ResponseReceived {
        headers = Map.copyOf(headers);
        Objects.requireNonNull(body, "body");
        Objects.requireNonNull(notice, "notice");
        Objects.requireNonNull(observation, "observation");
    }

    /**
     * Tells whether the response reports a failure of the server.
     *
     * @return true for status 500 and above, and for an unproven refusal
     */
    public boolean isServerError() {
        return status >= 500 || unprovenRefusal;
    }

    @Override
    public AttemptOutcome outcome() {
        return isServerError() ? AttemptOutcome.FAILED : AttemptOutcome.ANSWERED;
    }

    @Override
    public AttemptResult attemptResult() {
        if (unprovenRefusal) {
            return AttemptResult.UNPROVEN_REFUSAL;
        }
        return isServerError() ? AttemptResult.SERVER_ERROR : AttemptResult.ANSWERED;
    }
}
