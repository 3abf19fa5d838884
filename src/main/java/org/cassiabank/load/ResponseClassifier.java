package org.cassiabank.load;

/**
 * Determines the outcome of a request from its response, and whether the response is complete and belongs to the
 * request.
 *
 * <p>A response belongs to the request whose token its body contains. Request ids are compared and counted separately,
 * because a proxy that uses request ids of its own for backend servers can deliver the right response with an id that
 * the caller never sent.
 */
public final class ResponseClassifier {
    private ResponseClassifier() {}

    /**
     * Classifies a response that came from a proxy.
     *
     * @param response the response
     * @param token the token that the request asked the backend server to repeat in the body
     * @return the outcome
     */
    public static ObservedOutcome classify(ReceivedResponse response, String token) {
        return switch (response.outcome()) {
            case "answered" -> classifyBackendResponse(response, token);
            case "not-run" -> response.reason().isEmpty() ? ObservedOutcome.UNMARKED : ObservedOutcome.NOT_RUN;
            case "unknown" -> response.reason().isEmpty() ? ObservedOutcome.UNMARKED : ObservedOutcome.UNKNOWN;
            default -> ObservedOutcome.UNMARKED;
        };
    }

    /**
     * Classifies a response that came directly from a backend server.
     *
     * @param response the response
     * @param token the token that the request asked the backend server to repeat in the body
     * @return the outcome
     */
    public static ObservedOutcome classifyDirect(ReceivedResponse response, String token) {
        return response.notRun() ? ObservedOutcome.NOT_RUN : classifyBackendResponse(response, token);
    }

    private static ObservedOutcome classifyBackendResponse(ReceivedResponse response, String token) {
        // A backend server that aborts a request at its deadline returns 504 with a short text instead of a complete
        // body.
        if (response.httpStatus() == 503 || response.httpStatus() == 504) {
            return ObservedOutcome.FAILED;
        }
        boolean complete = response.body().startsWith("token=" + token + "\n")
                && response.body().endsWith("\nend=" + token + "\n");
        if (!complete) {
            return ObservedOutcome.WRONG;
        }
        return response.httpStatus() >= 500 ? ObservedOutcome.FAILED : ObservedOutcome.ANSWERED;
    }
}
