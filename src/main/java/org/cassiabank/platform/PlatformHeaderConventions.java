package org.cassiabank.platform;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cassiabank.backend.BackendHeaders;
import org.cassiabank.backend.HeaderConventions;

/**
 * The header conventions of the platform's callers and backend servers.
 */
final class PlatformHeaderConventions implements HeaderConventions {
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final int MISDIRECTED_REQUEST = 421;

    /** Request Timeout, Misdirected Request, Too Many Requests and Service Unavailable. */
    private static final Set<Integer> PROMISES_NOT_RUN = Set.of(408, MISDIRECTED_REQUEST, 429, 503);

    @Override
    public String requestIdHeader() {
        return "Request-Id";
    }

    /** Callers and servers use the same identifier for a request; each attempt of a caller has its own identifier. */
    @Override
    public boolean forwardsCallerRequestId() {
        return true;
    }

    /** An address identifies a client process; only a key identifies a customer. */
    @Override
    public boolean identifiesCustomersByAddress() {
        return false;
    }

    /** The value is the remaining time in milliseconds, counted from the arrival of the message. */
    @Override
    public String deadlineHeader() {
        return "Deadline-Ms";
    }

    /** The value is the server's name; a server with another name responds with 421 and does not run the request. */
    @Override
    public Optional<String> expectedServerHeader() {
        return Optional.of("Expect-Instance");
    }

    /** The value is a checksum of the response by its server, opaque to proxies. */
    @Override
    public Optional<String> responseSignatureHeader() {
        return Optional.of("Response-Seal");
    }

    /** The value is the key alone, without a scheme. */
    @Override
    public Optional<String> credentialHeader() {
        return Optional.of("Credential");
    }

    @Override
    public Optional<String> customerHeader() {
        return Optional.of("Tenant");
    }

    @Override
    public boolean provesNotRun(int status, Map<String, List<String>> headers) {
        return status == MISDIRECTED_REQUEST || headers.keySet().stream().anyMatch("Not-Executed"::equalsIgnoreCase);
    }

    /** Callers know no other sign that a request has not run. */
    @Override
    public boolean promisesNotRun(int status) {
        return PROMISES_NOT_RUN.contains(status);
    }

    /** Beside the store, all responses of a leaving server tell so; it closes connections for other reasons too. */
    @Override
    public boolean announcesLeaving(Map<String, List<String>> headers) {
        return BackendHeaders.hasOnlyValue(headers, "Server-Leaving", "1");
    }

    @Override
    public String rateLimitHeader() {
        return "Server-Limit";
    }

    @Override
    public boolean allowsCloseDelimitedResponses() {
        return true;
    }

    /** Callers of the platform accept fractions of a second. */
    @Override
    public String formatRetryAfter(long millis) {
        return Double.toString(millis / MILLIS_PER_SECOND);
    }
}
