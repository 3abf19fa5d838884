package org.cassiabank.backend;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The names and meanings of the headers that callers, proxies and backend servers exchange.
 *
 * <p>{@link DefaultHeaderConventions} are the project's own; the adapter of a platform may supply others.
 */
public interface HeaderConventions {

    /**
     * Returns the header with the identifier of a request, which a backend server echoes.
     *
     * @return the name of the header
     */
    String requestIdHeader();

    /**
     * Tells whether a backend server receives the caller's request identifier instead of a new one for each attempt.
     *
     * @return true if the caller's identifier is forwarded
     */
    boolean forwardsCallerRequestId();

    /**
     * Tells whether the address of a caller that states no identity serves as its customer identity.
     *
     * @return false if all callers without an identity count as one customer and get slots in the order of their
     *     requests
     */
    boolean identifiesCustomersByAddress();

    /**
     * Returns the header with the remaining time for the request, in milliseconds.
     *
     * @return the name of the header
     */
    String deadlineHeader();

    /**
     * Returns the header with the name of the backend server that a request is intended for.
     *
     * @return the name of the header, or empty if servers do not check it
     */
    Optional<String> expectedServerHeader();

    /**
     * Returns the header that every successful response of a backend server carries; a successful response without it
     * does not come from the server.
     *
     * @return the name of the header, or empty if responses carry none
     */
    Optional<String> responseSignatureHeader();

    /**
     * Returns the header in which a caller sends the key of its customer, and nothing else.
     *
     * @return the name of the header, or empty if callers have no keys
     */
    Optional<String> credentialHeader();

    /**
     * Returns the header in which a backend server receives the name of the customer that the caller's key identified.
     * The proxy sets it regardless of what the caller sent.
     *
     * @return the name of the header, or empty if servers are not told
     */
    Optional<String> customerHeader();

    /**
     * Tells whether a response proves that the request did not run.
     *
     * @param status the HTTP status
     * @param headers the headers of the response
     * @return true if the request provably did not run
     */
    boolean provesNotRun(int status, Map<String, List<String>> headers);

    /**
     * Tells whether callers take a status for the promise that the request has not run and will not run. A response of
     * a server that does not prove this is not passed on with such a status if the request may run only once.
     *
     * @param status the HTTP status of a reply
     * @return false for all statuses if callers learn it from other parts of the reply
     */
    boolean promisesNotRun(int status);

    /**
     * Tells whether a response states that its server is leaving.
     *
     * @param headers the headers of the response
     * @return true if the server is leaving
     */
    boolean announcesLeaving(Map<String, List<String>> headers);

    /**
     * Returns the header in which a backend server names the requests a second that it accepts from all proxies
     * together, as a decimal number. The limit holds until a response does not name it.
     *
     * @return the name of the header
     */
    String rateLimitHeader();

    /**
     * Tells whether a response without a declared length may end with its connection if its head announces that.
     *
     * @return true if such a response is complete when its connection is closed in order, not reset
     */
    boolean allowsCloseDelimitedResponses();

    /**
     * Formats the delay after which a caller may retry.
     *
     * @param delayMillis the delay in milliseconds
     * @return the value of {@code Retry-After}
     */
    String formatRetryAfter(long delayMillis);
}
