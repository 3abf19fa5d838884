package org.cassiabank.proxy;

/**
 * Answers requests of callers. Called on virtual threads, so it may block.
 */
@FunctionalInterface
interface CallerHandler {

    /**
     * Answers one request.
     *
     * @param request the request
     * @param connection tells whether the caller is still there
     * @return the reply
     */
    CallerReply handle(CallerRequest request, CallerPresence connection);
}
