package org.cassiabank.proxy;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.List;

/**
 * Collects the decisions about one request for one log line, so that a failed request can be explained afterwards.
 *
 * <p>A request is decided by one thread at a time.
 */
final class RequestTrace {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final long startMillis = MonotonicClock.millis();
    private final List<String> steps = new ArrayList<>(4);
    private final String identifier;
    private String selector = "none";
    private long deadlineMillis;
    private long revision;
    private long listIndex;

    private RequestTrace(String identifier) {
        this.identifier = identifier;
    }

    /**
     * Starts the trace of a request.
     *
     * @param identifier the identifier of the request, empty if the caller sent none
     * @return the trace
     */
    static RequestTrace start(String identifier) {
        return new RequestTrace(identifier);
    }

    /** Notes the state of the fleet that the decisions are based on. */
    void useView(FleetView view) {
        revision = view.configuration().revision();
        listIndex = view.instances().index();
    }

    void route(String selectorName, long remainingMillis) {
        selector = selectorName;
        deadlineMillis = remainingMillis;
    }

    /** Notes a decision with the time since the request was read. */
    void add(String step) {
        steps.add(step + "@" + elapsedMillis());
    }

    /** Returns the time since the request was read, in milliseconds. */
    long elapsedMillis() {
        return MonotonicClock.millis() - startMillis;
    }

    /** Writes the line. */
    void log(CallerReply reply) {
        LOGGER.atInfo().log(
                "request=%s selector=%s outcome=%s reason=%s status=%d retry-after-millis=%s millis=%d "
                        + "deadline-millis=%d revision=%d list=%d steps=%s",
                identifier.isEmpty() ? "-" : identifier,
                selector,
                reply.firstHeader(CallerReply.OUTCOME_HEADER),
                reply.firstHeader(CallerReply.REASON_HEADER),
                reply.status(),
                reply.firstHeader(CallerReply.RETRY_AFTER_MILLIS_HEADER),
                elapsedMillis(),
                deadlineMillis,
                revision,
                listIndex,
                steps);
    }
}
