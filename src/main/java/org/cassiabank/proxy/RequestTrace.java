package org.cassiabank.proxy;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cassiabank.admission.RateLimitNotice;
import org.cassiabank.backend.BackendResult;
import org.cassiabank.backend.NoValidResponse;
import org.cassiabank.backend.ResponseReceived;
import org.cassiabank.health.RequestDigest;
import org.cassiabank.source.StateConfirmation;

/**
 * Collects the decisions about one request for one log line, so that a failed request can be explained afterwards.
 *
 * <p>Instances are not thread-safe; one thread at a time decides about a request.
 */
final class RequestTrace {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private static final long UNKNOWN_AGE = -1;

    private final long startMillis = MonotonicClock.millis();
    private final List<String> steps = new ArrayList<>(4);
    private final String requestId;
    private String selector = "none";
    private String customer = "-";
    private RequestDigest digest = RequestDigest.none();
    private long deadlineMillis;
    private long revision;
    private long listIndex;
    private long stateAgeMillis = UNKNOWN_AGE;

    private RequestTrace(String requestId) {
        this.requestId = requestId;
    }

    /**
     * Starts the trace of a request.
     *
     * @param requestId the identifier of the request, empty if the caller sent none
     * @return the trace
     */
    static RequestTrace start(String requestId) {
        return new RequestTrace(requestId);
    }

    /**
     * Records the configuration revision and the list index on which the decisions are based.
     *
     * @param view the view of the fleet by which the request is handled
     * @param confirmation how current the view is, empty if that is unknown
     */
    void recordView(FleetView view, Optional<StateConfirmation> confirmation) {
        stateAgeMillis = confirmation
                .map(known -> known.ageMillis(MonotonicClock.millis()))
                .orElse(UNKNOWN_AGE);
        revision = view.configuration().revision();
        listIndex = view.instances().index();
    }

    /** Records the customer whose key the request has, if there is one. */
    void recordCustomer(Optional<String> name) {
        customer = name.orElse("-");
    }

    /** Records the selector of the request and the time in milliseconds that remains until its deadline. */
    void recordRoute(String selectorName, long remainingMillis) {
        selector = selectorName;
        deadlineMillis = remainingMillis;
    }

    /** Records the digest, which connects the lines of all attempts of a caller at the same request. */
    void recordDigest(RequestDigest requestDigest) {
        digest = requestDigest;
    }

    /** Records a decision with the time since the request was read, in milliseconds. */
    void addStep(String step) {
        steps.add(step + "@" + elapsedMillis());
    }

    /** Records how an attempt at a server ended. */
    void addResult(String serverName, BackendResult result) {
        addStep(describeResult(serverName, result));
    }

    /** Returns the time since the request was read, in milliseconds. */
    long elapsedMillis() {
        return MonotonicClock.millis() - startMillis;
    }

    /** Writes the log line of the request. */
    void log(CallerReply reply) {
        LOGGER.atInfo().log(
                "request=%s digest=%s customer=%s selector=%s outcome=%s reason=%s status=%d "
                        + "retry-after-millis=%s millis=%d deadline-millis=%d revision=%d list=%d "
                        + "state-age-millis=%d steps=%s",
                requestId.isEmpty() ? "-" : requestId,
                digest.shortText(),
                customer,
                selector,
                reply.firstHeader(CallerReply.OUTCOME_HEADER),
                reply.firstHeader(CallerReply.REASON_HEADER),
                reply.status(),
                reply.firstHeader(CallerReply.RETRY_AFTER_MILLIS_HEADER),
                elapsedMillis(),
                deadlineMillis,
                revision,
                listIndex,
                stateAgeMillis,
                steps);
    }

    private static String describeResult(String serverName, BackendResult result) {
        String label = serverName + " " + result.attemptResult().label();
        if (result instanceof NoValidResponse noValidResponse) {
            return label + " (" + noValidResponse.detail() + ")";
        }
        if (result instanceof ResponseReceived response) {
            label += " " + response.status() + " " + response.observation();
        }
        if (result.notice().leaving()) {
            label += " leaving";
        }
        return result.notice().rateLimit() instanceof RateLimitNotice.Limited limited
                ? label + " limit=" + limited.requestsPerSecond() + "/s"
                : label;
    }
}
