package org.cassiabank.proxy;

import org.cassiabank.backend.BackendRequest;

/**
 * Checks whether requests of callers can be forwarded to a backend server unchanged.
 */
final class BackendRequests {
    /** Stands in for the address of a server, which has not been chosen yet; nothing is sent to it. */
    private static final String PLACEHOLDER_ADDRESS = "127.0.0.1:1";

    private BackendRequests() {}

    /**
     * Tells whether a request can be forwarded.
     *
     * @param request the request
     * @return false if its path or method cannot be sent unchanged
     */
    static boolean canForward(CallerRequest request) {
        try {
            BackendRequest.forAddress(
                    PLACEHOLDER_ADDRESS,
                    request.method(),
                    request.target(),
                    request.headers(),
                    request.body(),
                    "check",
                    true,
                    1);
            return true;
        } catch (IllegalArgumentException exception) {
            return false;
        }
    }
}
