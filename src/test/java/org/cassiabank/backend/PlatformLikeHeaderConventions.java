package org.cassiabank.backend;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Conventions that use everything that the project's own does not: identities, signatures, answers without a length.
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
    public boolean provesNotRun(int status, Map<String, List<String>> headers) {
        return status == 421;
    }

    @Override
    public boolean announcesLeaving(Map<String, List<String>> headers) {
        return false;
    }

    @Override
    public boolean allowsCloseDelimitedResponses() {
        return true;
    }

    @Override
    public String formatRetryAfter(long millis) {
        return Long.toString(millis);
    }
}
