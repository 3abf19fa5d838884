package org.cassiabank.proxy;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * Carries out requests that a peer has passed on because it reaches no backend server.
 */
interface ForwardedRequestHandler {

    /**
     * Runs a request, whose key the peer has claimed. It is not passed on again.
     *
     * @param request the request of the peer's caller
     * @param remainingMillis the time until its deadline in milliseconds
     * @param formerAttempts the attempts of the peer that may have reached a backend server
     * @param configurationRevision the revision of the configuration by which the request is to be handled, empty if a
     *     peer of a former release does not name it
     * @param customer the customer whose key the peer has checked, empty if it named none
     * @param presence tells whether the caller is still connected to the peer
     * @return the result; empty if the request has not run and another peer may be asked, also if another revision is
     *     in force here or the customer is not declared
     */
    Optional<RequestResult> runForwarded(
            CallerRequest request,
            long remainingMillis,
            int formerAttempts,
            OptionalLong configurationRevision,
            Optional<String> customer,
            CallerPresence presence);
}
