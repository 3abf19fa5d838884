package org.cassiabank.proxy;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.cassiabank.backend.HeaderConventions;
import org.cassiabank.http.ResponseHeads;

/**
 * Makes the reply to a caller from the response of a server, whichever daemon received it and whether it is repeated
 * from a record.
 *
 * <p>A response that proves that its request did not run never gets here. A status that promises this to callers is
 * therefore not passed on for a request that may run only once: the caller gets a reply of unknown outcome. So does the
 * caller of a request whose recorded or forwarded response has an invalid status, because a record or a peer may be of
 * a release that accepted it.
 */
final class ServerResponseReply {
    /** The reason of replies that replace a response whose status would be a false promise. */
    static final String UNPROVEN_REFUSAL = "unproven-refusal";

    /** The reason of replies that replace a response whose status no final response can have. */
    static final String INVALID_STATUS = "invalid-status";

    private static final int BAD_GATEWAY = 502;
    private static final String RETRY_AFTER = "Retry-After";

    private ServerResponseReply() {}

    /**
     * Makes the reply.
     *
     * @param status the HTTP status of the response
     * @param headers the end-to-end headers of the response
     * @param body the body of the response; not copied
     * @param repeatable whether the request may run more than once
     * @param conventions tell which statuses promise that a request has not run
     * @return the response itself; without {@code Retry-After} if its status is a promise, because the delay is meant
     *     for this fleet; a reply of unknown outcome without anything of the response if the promise could do harm or
     *     if the status is invalid
     */
    static CallerReply create(
            int status,
            Map<String, List<String>> headers,
            byte[] body,
            boolean repeatable,
            HeaderConventions conventions) {
        Objects.requireNonNull(conventions, "conventions");
        if (!ResponseHeads.isFinalStatus(status)) {
            return CallerReply.unknown(BAD_GATEWAY, INVALID_STATUS);
        }
        if (!conventions.promisesNotRun(status)) {
            return CallerReply.answered(status, headers, body);
        }
        if (!repeatable) {
            return CallerReply.unknown(BAD_GATEWAY, UNPROVEN_REFUSAL);
        }
        Map<String, List<String>> headersForCaller = new LinkedHashMap<>(headers);
        headersForCaller.keySet().removeIf(RETRY_AFTER::equalsIgnoreCase);
        return CallerReply.answered(status, headersForCaller, body);
    }
}
