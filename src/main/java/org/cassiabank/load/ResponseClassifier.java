package org.cassiabank.load;

/**
 * Decides what a response tells its caller and whether it is whole and belongs to the request.
 *
 * <p>The token in the body decides whose response it is. Request ids are compared and counted separately, because a
 * proxy that uses ids of its own towards backend servers can deliver the right response with an id that its caller
 * never sent.
 */
public final class ResponseClassifier {
    private ResponseClassifier() {}

    /**
     * Classifies a reply that a proxy sent.
     *
     * @param response the response
     * @param token the token that the request asked the backend server to repeat in the body
     * @return the class
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
     * Classifies a response that came from a backend server without a proxy.
     *
     * @param response the response
     * @param token the token that the request asked the backend server to repeat in the body
     * @return the class
     */
    public static ObservedOutcome classifyDirect(ReceivedResponse response, String token) {
        return response.notRun() ? ObservedOutcome.NOT_RUN : classifyBackendResponse(response, token);
    }

    private static ObservedOutcome classifyBackendResponse(ReceivedResponse response, String token) {
        // A backend server that gives up at the deadline answers 504 with a short text instead of a full body.
        if (response.status() == 503 || response.status() == 504) {
            return ObservedOutcome.FAILED;
        }
        boolean complete = response.body().startsWith("token=" + token + "\n")
                && response.body().endsWith("\nend=" + token + "\n");
        if (!complete) {
            return ObservedOutcome.WRONG;
        }
        return response.status() >= 500 ? ObservedOutcome.FAILED : ObservedOutcome.ANSWERED;
    }
}
