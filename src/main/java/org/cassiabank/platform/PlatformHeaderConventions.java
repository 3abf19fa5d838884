package org.cassiabank.platform;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cassiabank.backend.HeaderConventions;

/**
 * The headers that callers and backend servers of the platform use.
 */
final class PlatformMessages implements HeaderConventions {
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final int MISDIRECTED = 421;

    @Override
    public String requestIdHeader() {
        return "Request-Id";
    }

    /** Servers and callers know a request by one identifier; each attempt of a caller has its own. */
    @Override
    public boolean forwardsCallerRequestId() {
        return true;
    }

    /** An address stands for a client process; nothing on the wire names a customer. */
    @Override
    public boolean identifiesCustomersByAddress() {
        return false;
    }

    /** Milliseconds that are left, counted from the arrival of the message. */
    @Override
    public String deadlineHeader() {
        return "Deadline-Ms";
    }

    /** Takes the server's name; a server of another name answers with status 421 and does not run the request. */
    @Override
    public Optional<String> expectedServerHeader() {
        return Optional.of("Expect-Instance");
    }

    /** A checksum by the server over its response, opaque to everybody on the way. */
    @Override
    public Optional<String> responseSignatureHeader() {
        return Optional.of("Response-Seal");
    }

    @Override
    public boolean provesNotRun(int status, Map<String, List<String>> headers) {
        return status == MISDIRECTED || headers.keySet().stream().anyMatch("Not-Executed"::equalsIgnoreCase);
    }

    /** Servers that leave say so in the store only; they close connections for other reasons, too. */
    @Override
    public boolean announcesLeaving(Map<String, List<String>> headers) {
        return false;
    }

    @Override
    public boolean allowsCloseDelimitedResponses() {
        return true;
    }

    /** Fractions of a second are understood. */
    @Override
    public String formatRetryAfter(long millis) {
        return Double.toString(millis / MILLIS_PER_SECOND);
    }
}
