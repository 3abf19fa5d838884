package org.cassiabank.platform;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cassiabank.backend.MessageProfile;

/**
 * The headers that callers and backend servers of the platform use.
 */
final class PlatformMessages implements MessageProfile {
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final int MISDIRECTED = 421;

    @Override
    public String requestIdentifier() {
        return "Request-Id";
    }

    /** Servers and callers know a request by one identifier; each attempt of a caller has its own. */
    @Override
    public boolean keepsCallerIdentifier() {
        return true;
    }

    /** An address stands for a client process; nothing on the wire names a customer. */
    @Override
    public boolean distinguishesAddresses() {
        return false;
    }

    /** Milliseconds that are left, counted from the arrival of the message. */
    @Override
    public String deadlineMillis() {
        return "Deadline-Ms";
    }

    /** Takes the server's name; a server of another name answers with status 421 and does not run the request. */
    @Override
    public Optional<String> expectedServer() {
        return Optional.of("Expect-Instance");
    }

    /** A checksum by the server over its answer, opaque to everybody on the way. */
    @Override
    public Optional<String> answerSignature() {
        return Optional.of("Response-Seal");
    }

    @Override
    public boolean provesNotRun(int status, Map<String, List<String>> headers) {
        return status == MISDIRECTED || headers.keySet().stream().anyMatch("Not-Executed"::equalsIgnoreCase);
    }

    /** Servers that leave say so in the store only; they close connections for other reasons, too. */
    @Override
    public boolean statesLeaving(Map<String, List<String>> headers) {
        return false;
    }

    @Override
    public boolean allowsAnswersWithoutLength() {
        return true;
    }

    /** Fractions of a second are understood. */
    @Override
    public String retryAfter(long millis) {
        return Double.toString(millis / MILLIS_PER_SECOND);
    }
}
