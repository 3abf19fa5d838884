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

    /**
     * Returns the reply to a request that {@link #handle} has not answered, or whose reply cannot be written.
     *
     * @param request the request, which may have run
     * @param reason the value of {@code Cassiabank-Reason}
     * @return the reply
     */
    default CallerReply replyWithoutResult(CallerRequest request, String reason) {
        return CallerReply.unknown(reason);
    }
}
