package org.cassiabank.proxy;

import java.util.Optional;

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
     * @param presence tells whether the caller is still connected to the peer
     * @return the result; empty if the request has not run and another peer may be asked
     */
    Optional<RequestResult> runForwarded(
            CallerRequest request, long remainingMillis, int formerAttempts, CallerPresence presence);
}
