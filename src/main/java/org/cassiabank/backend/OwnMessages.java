package org.cassiabank.backend;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The project's own headers.
 */
public final class OwnMessages implements MessageProfile {
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final long MILLIS_PER_SECOND = 1_000;
    private static final OwnMessages INSTANCE = new OwnMessages();

    private OwnMessages() {}

    /**
     * Returns the profile.
     *
     * @return the profile
     */
    public static OwnMessages create() {
        return INSTANCE;
    }

    @Override
    public String requestIdentifier() {
        return BackendHeaders.REQUEST_ID;
    }

    @Override
    public boolean keepsCallerIdentifier() {
        return false;
    }

    @Override
    public boolean distinguishesAddresses() {
        return true;
    }

    @Override
    public String deadlineMillis() {
        return BackendHeaders.DEADLINE_MILLIS;
    }

    @Override
    public Optional<String> expectedServer() {
        return Optional.empty();
    }

    @Override
    public Optional<String> answerSignature() {
        return Optional.empty();
    }

    @Override
    public boolean provesNotRun(int status, Map<String, List<String>> headers) {
        return status == SERVICE_UNAVAILABLE && BackendHeaders.isAlways(headers, BackendHeaders.NOT_RUN, "true");
    }

    @Override
    public boolean statesLeaving(Map<String, List<String>> headers) {
        return BackendHeaders.isAlways(headers, BackendHeaders.LEAVING, "true");
    }

    @Override
    public boolean allowsAnswersWithoutLength() {
        return false;
    }

    @Override
    public String retryAfter(long millis) {
        return Long.toString((millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND);
    }
}
