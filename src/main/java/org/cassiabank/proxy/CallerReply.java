package org.cassiabank.proxy;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cassiabank.backend.DefaultHeaderConventions;

/**
 * The reply to a caller: a response of a backend server, or one of the two other outcomes.
 *
 * @param status the HTTP status
 * @param headers the headers
 * @param body the body; not copied
 */
record CallerReply(int status, Map<String, List<String>> headers, byte[] body) {
    static final String OUTCOME_HEADER = "Cassiabank-Outcome";
    static final String REASON_HEADER = "Cassiabank-Reason";
    static final String RETRY_AFTER_MILLIS_HEADER = "Cassiabank-Retry-After-Millis";
    static final int SERVICE_UNAVAILABLE = 503;
    static final int GATEWAY_TIMEOUT = 504;
    static final int CONFLICT = 409;

    static CallerReply answered(int status, Map<String, List<String>> headers, byte[] body) {
        Map<String, List<String>> all = new LinkedHashMap<>(headers);
        all.put(OUTCOME_HEADER, List.of("answered"));
        return new CallerReply(status, all, body);
    }

    static CallerReply notRun(String reason, long retryAfterMillis) {
        return notRun(SERVICE_UNAVAILABLE, reason, retryAfterMillis);
    }

    static CallerReply notRun(int status, String reason, long retryAfterMillis) {
        Map<String, List<String>> headers = outcome("not-run", reason);
        if (retryAfterMillis > 0) {
            headers.put(
                    "Retry-After", List.of(DefaultHeaderConventions.instance().formatRetryAfter(retryAfterMillis)));
            headers.put(RETRY_AFTER_MILLIS_HEADER, List.of(Long.toString(retryAfterMillis)));
        }
        return new CallerReply(status, headers, text("not run: " + reason));
    }

    static CallerReply unknown(String reason) {
        return unknown(GATEWAY_TIMEOUT, reason);
    }

    static CallerReply unknown(int status, String reason) {
        return new CallerReply(status, outcome("unknown", reason), text("outcome unknown: " + reason));
    }

    /**
     * Returns this reply with one header set to one value, whatever case its name was in.
     *
     * @param name the name of the header
     * @param value the value
     * @return the reply
     */
    CallerReply withHeader(String name, String value) {
        Map<String, List<String>> changed = new LinkedHashMap<>(headers);
        changed.keySet().removeIf(name::equalsIgnoreCase);
        changed.put(name, List.of(value));
        return new CallerReply(status, changed, body);
    }

    /**
     * Returns the first value of a header of this proxy's own.
     *
     * @param name the name in its usual case
     * @return the value, or a hyphen if there is none
     */
    String firstHeader(String name) {
        return headers.getOrDefault(name, List.of("-")).getFirst();
    }

    private static Map<String, List<String>> outcome(String outcome, String reason) {
        Map<String, List<String>> headers = new LinkedHashMap<>();
        headers.put(OUTCOME_HEADER, List.of(outcome));
        headers.put(REASON_HEADER, List.of(reason));
        headers.put("Content-Type", List.of("text/plain; charset=utf-8"));
        return headers;
    }

    private static byte[] text(String message) {
        return (message + "\n").getBytes(StandardCharsets.UTF_8);
    }
}
