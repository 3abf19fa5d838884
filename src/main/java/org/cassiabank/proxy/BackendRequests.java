package org.cassiabank.proxy;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.TimeUnit;
import org.cassiabank.backend.BackendClient;
import org.cassiabank.backend.BackendRequest;
import org.cassiabank.backend.HeaderConventions;

/**
 * Checks whether requests of callers can be forwarded to a backend server unchanged.
 */
final class BackendRequests {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int LOG_INTERVAL_SECONDS = 1;

    /** Stands in for the address of a server, which has not been chosen yet; nothing is sent to it. */
    private static final String PLACEHOLDER_ADDRESS = "127.0.0.1:1";

    private BackendRequests() {}

    /**
     * Tells whether a request can be forwarded to whichever server is chosen.
     *
     * @param request the request
     * @param conventions the headers between proxies and servers
     * @return false if its path, method, identifier or another header cannot be sent unchanged
     */
    static boolean canForward(CallerRequest request, HeaderConventions conventions) {
        try {
            String requestId = request.header(conventions.requestIdHeader())
                    .filter(value -> conventions.forwardsCallerRequestId() && !value.isBlank())
                    .orElse("check");
            BackendClient.requireSendable(
                    BackendRequest.forAddress(
                            PLACEHOLDER_ADDRESS,
                            request.method(),
                            request.target(),
                            request.headers(),
                            request.body(),
                            requestId,
                            true,
                            1),
                    conventions);
            return true;
        } catch (IllegalArgumentException exception) {
            LOGGER.atInfo().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
                    "a request from %s cannot be forwarded: %s", request.remoteAddress(), exception.getMessage());
            return false;
        }
    }
}
