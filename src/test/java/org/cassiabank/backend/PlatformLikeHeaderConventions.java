package org.cassiabank.backend;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Header conventions that use what the project's own do not: server identities, response signatures, responses without
 * a length.
 */
final class PlatformLikeHeaderConventions implements HeaderConventions {

    @Override
    public String requestIdHeader() {
        return "Cassiabank-Request-Id";
    }

    @Override
    public boolean forwardsCallerRequestId() {
        return true;
    }

    @Override
    public boolean identifiesCustomersByAddress() {
        return false;
    }

    @Override
    public String deadlineHeader() {
        return "Left";
    }

    @Override
    public Optional<String> expectedServerHeader() {
        return Optional.of("Meant-For");
    }

    @Override
    public Optional<String> responseSignatureHeader() {
        return Optional.of("Signed");
    }

    @Override
    public Optional<String> credentialHeader() {
        return Optional.empty();
    }

    @Override
    public Optional<String> customerHeader() {
        return Optional.empty();
    }

    @Override
    public boolean provesNotRun(int status, Map<String, List<String>> headers) {
        return status == 421 || status == 503 && BackendHeaders.hasOnlyValue(headers, BackendHeaders.NOT_RUN, "true");
    }

    @Override
    public boolean promisesNotRun(int status) {
        return status == 421 || status == 429 || status == 503;
    }

    @Override
    public boolean announcesLeaving(Map<String, List<String>> headers) {
        return false;
    }

    @Override
    public String rateLimitHeader() {
        return "Accepts";
    }

    @Override
    public boolean allowsCloseDelimitedResponses() {
        return true;
    }

    @Override
    public String formatRetryAfter(long delayMillis) {
        return Long.toString(delayMillis);
    }
}
