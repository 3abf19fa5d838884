package org.cassiabank.backend;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The project's own header conventions, with the header names of {@link BackendHeaders}.
 */
public final class DefaultHeaderConventions implements HeaderConventions {
    private static final int SERVICE_UNAVAILABLE_STATUS = 503;
    private static final long MILLIS_PER_SECOND = 1_000;
    private static final DefaultHeaderConventions INSTANCE = new DefaultHeaderConventions();

    private DefaultHeaderConventions() {}

    /**
     * Returns the only instance, which has no state.
     *
     * @return the conventions
     */
    public static DefaultHeaderConventions instance() {
        return INSTANCE;
    }

    @Override
    public String requestIdHeader() {
        return BackendHeaders.REQUEST_ID;
    }

    @Override
    public boolean forwardsCallerRequestId() {
        return false;
    }

    @Override
    public boolean identifiesCustomersByAddress() {
        return true;
    }

    @Override
    public String deadlineHeader() {
        return BackendHeaders.DEADLINE_MILLIS;
    }

    @Override
    public Optional<String> expectedServerHeader() {
        return Optional.empty();
    }

    @Override
    public Optional<String> responseSignatureHeader() {
        return Optional.empty();
    }

    @Override
    public Optional<String> credentialHeader() {
        return Optional.of(BackendHeaders.CUSTOMER_KEY);
    }

    @Override
    public Optional<String> customerHeader() {
        return Optional.of(BackendHeaders.CUSTOMER);
    }

    @Override
    public boolean provesNotRun(int status, Map<String, List<String>> headers) {
        return status == SERVICE_UNAVAILABLE_STATUS
                && BackendHeaders.hasOnlyValue(headers, BackendHeaders.NOT_RUN, "true");
    }

    /** Callers read {@code Cassiabank-Outcome}; the status of a response is that of its server. */
    @Override
    public boolean promisesNotRun(int status) {
        return false;
    }

    @Override
    public boolean announcesLeaving(Map<String, List<String>> headers) {
        return BackendHeaders.hasOnlyValue(headers, BackendHeaders.LEAVING, "true");
    }

    @Override
    public String rateLimitHeader() {
        return BackendHeaders.RATE_LIMIT;
    }

    @Override
    public boolean allowsCloseDelimitedResponses() {
        return false;
    }

    /** Rounds up to whole seconds, so that a caller does not retry too early. */
    @Override
    public String formatRetryAfter(long delayMillis) {
        return Long.toString((delayMillis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND);
    }
}
