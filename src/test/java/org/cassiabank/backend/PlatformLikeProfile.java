package org.cassiabank.backend;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/** A profile that uses everything that the project's own does not: identities, signatures, answers without a length. */
final class PlatformLikeProfile implements MessageProfile {

    @Override
    public String requestIdentifier() {
        return "Cassiabank-Request-Id";
    }

    @Override
    public boolean keepsCallerIdentifier() {
        return true;
    }

    @Override
    public boolean distinguishesAddresses() {
        return false;
    }

    @Override
    public String deadlineMillis() {
        return "Left";
    }

    @Override
    public Optional<String> expectedServer() {
        return Optional.of("Meant-For");
    }

    @Override
    public Optional<String> answerSignature() {
        return Optional.of("Signed");
    }

    @Override
    public boolean provesNotRun(int status, Map<String, List<String>> headers) {
        return status == 421;
    }

    @Override
    public boolean statesLeaving(Map<String, List<String>> headers) {
        return false;
    }

    @Override
    public boolean allowsAnswersWithoutLength() {
        return true;
    }

    @Override
    public String retryAfter(long millis) {
        return Long.toString(millis);
    }
}
