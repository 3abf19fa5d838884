package org.cassiabank.proxy;

/**
 * Answers requests of callers. It is called on virtual threads, so that it may block.
 */
@FunctionalInterface
interface CallerHandler {

    /**
     * Answers one request.
     *
     * @param request the request
     * @param presence tells whether the caller is still connected
     * @return the reply, never null
     */
    CallerReply handle(CallerRequest request, CallerPresence presence);
}
