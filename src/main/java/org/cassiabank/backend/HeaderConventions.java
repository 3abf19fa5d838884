package org.cassiabank.backend;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The headers by which callers, proxies and backend servers understand each other.
 *
 * <p>The project has conventions of its own, {@link DefaultHeaderConventions}; a platform may bring others.
 */
public interface HeaderConventions {

    /**
     * Returns the header with the identifier of a request, which a backend server echoes.
     *
     * @return the name of the header
     */
    String requestIdHeader();

    /**
     * Tells whether a backend server gets the caller's identifier instead of one for each attempt.
     *
     * @return true if the caller's identifier is passed on
     */
    boolean forwardsCallerRequestId();

    /**
     * Tells whether callers are told apart by their addresses where they state no identity of their own.
     *
     * @return false if all callers without an identity share the slots in the order of their requests
     */
    boolean identifiesCustomersByAddress();

    /**
     * Returns the header with the time that is left, in milliseconds.
     *
     * @return the name of the header
     */
    String deadlineHeader();

    /**
     * Returns the header that names the backend server that a request is meant for.
     *
     * @return the name of the header, or empty if servers do not check it
     */
    Optional<String> expectedServerHeader();

    /**
     * Returns the header without which a successful response is not the server's own.
     *
     * @return the name of the header, or empty if responses carry none
     */
    Optional<String> responseSignatureHeader();

    /**
     * Tells whether a response proves that the request did not run.
     *
     * @param status the HTTP status
     * @param headers the headers of the response
     * @return true if the request provably did not run
     */
    boolean provesNotRun(int status, Map<String, List<String>> headers);

    /**
     * Tells whether a response states that its server is leaving.
     *
     * @param headers the headers of the response
     * @return true if the server is leaving
     */
    boolean announcesLeaving(Map<String, List<String>> headers);

    /**
     * Tells whether the end of the connection may be the end of a response.
     *
     * @return true if responses without a declared length are complete when their connection ends in order
     */
    boolean allowsCloseDelimitedResponses();

    /**
     * Writes the time after which a caller may come back.
     *
     * @param millis the time in milliseconds
     * @return the value of {@code Retry-After}
     */
    String formatRetryAfter(long millis);
}
