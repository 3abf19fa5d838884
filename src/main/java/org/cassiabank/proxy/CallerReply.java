package org.cassiabank.proxy;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cassiabank.backend.DefaultHeaderConventions;

/**
 * The reply to a caller: the response of a backend server, a refusal of a request that did not run, or the report of
 * an unknown outcome.
 *
 * @param status the HTTP status
 * @param headers the values of each header by its name
 * @param body the body; not copied
 */
record CallerReply(int status, Map<String, List<String>> headers, byte[] body) {
    static final String OUTCOME_HEADER = "Cassiabank-Outcome";
    static final String REASON_HEADER = "Cassiabank-Reason";
    static final String RETRY_AFTER_MILLIS_HEADER = "Cassiabank-Retry-After-Millis";
    static final int SERVICE_UNAVAILABLE = 503;
    static final int TOO_MANY_REQUESTS = 429;
    static final int GATEWAY_TIMEOUT = 504;
    static final int CONFLICT = 409;
    private static final String ANSWERED = "answered";

    /** Returns the response of a backend server with the outcome {@code answered}. */
    static CallerReply answered(int status, Map<String, List<String>> headers, byte[] body) {
        Map<String, List<String>> allHeaders = new LinkedHashMap<>(headers);
        allHeaders.put(OUTCOME_HEADER, List.of(ANSWERED));
        return new CallerReply(status, allHeaders, body);
    }

    /** Returns a refusal of a request that did not run, with status 503. */
    static CallerReply notRun(String reason, long retryAfterMillis) {
        return notRun(SERVICE_UNAVAILABLE, reason, retryAfterMillis);
    }

    /**
     * Returns a refusal of a request that did not run.
     *
     * @param status the HTTP status
     * @param reason the value of {@code Cassiabank-Reason}
     * @param retryAfterMillis the delay after which the caller may retry, in milliseconds, 0 to send none
     * @return the reply
     */
    static CallerReply notRun(int status, String reason, long retryAfterMillis) {
        Map<String, List<String>> headers = outcomeHeaders("not-run", reason);
        if (retryAfterMillis > 0) {
            headers.put(
                    "Retry-After", List.of(DefaultHeaderConventions.instance().formatRetryAfter(retryAfterMillis)));
            headers.put(RETRY_AFTER_MILLIS_HEADER, List.of(Long.toString(retryAfterMillis)));
        }
        return new CallerReply(status, headers, plainTextBody("not run: " + reason));
    }

    /** Returns the reply to a request that may have run, with status 504. */
    static CallerReply unknown(String reason) {
        return unknown(GATEWAY_TIMEOUT, reason);
    }

    /** Returns the reply to a request that may have run, with the given status. */
    static CallerReply unknown(int status, String reason) {
        return new CallerReply(status, outcomeHeaders("unknown", reason), plainTextBody("outcome unknown: " + reason));
    }

    /**
     * Returns a copy of this reply with a header set to one value. Values under the same name in any case are replaced.
     *
     * @param name the name of the header
     * @param value the value
     * @return the changed copy
     */
    CallerReply withHeader(String name, String value) {
        Map<String, List<String>> changedHeaders = new LinkedHashMap<>(headers);
        changedHeaders.keySet().removeIf(name::equalsIgnoreCase);
        changedHeaders.put(name, List.of(value));
        return new CallerReply(status, changedHeaders, body);
    }

    /** Tells whether the reply is the response of a backend server. */
    boolean isAnswered() {
        return firstHeader(OUTCOME_HEADER).equals(ANSWERED);
    }

    /**
     * Returns the first value of a header that this proxy itself set.
     *
     * @param name the name, in the case in which it was set
     * @return the value, or a hyphen if there is none
     */
    String firstHeader(String name) {
        return headers.getOrDefault(name, List.of("-")).getFirst();
    }

    private static Map<String, List<String>> outcomeHeaders(String outcome, String reason) {
        Map<String, List<String>> headers = new LinkedHashMap<>();
        headers.put(OUTCOME_HEADER, List.of(outcome));
        headers.put(REASON_HEADER, List.of(reason));
        headers.put("Content-Type", List.of("text/plain; charset=utf-8"));
        return headers;
    }

    private static byte[] plainTextBody(String message) {
        return (message + "\n").getBytes(StandardCharsets.UTF_8);
    }
}
