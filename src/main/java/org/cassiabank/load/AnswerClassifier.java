package org.cassiabank.load;

/**
 * Decides what a response tells its caller and whether it is whole and belongs to the request.
 *
 * <p>The token in the body decides whose response it is. Request ids are compared and counted separately, because a
 * proxy that uses ids of its own towards backend servers can deliver the right response with an id that its caller
 * never sent.
 */
public final class AnswerClassifier {
    private AnswerClassifier() {}

    /**
     * Classifies a reply that a proxy sent.
     *
     * @param answer the response
     * @param token the token that the request asked the backend server to repeat in the body
     * @return the class
     */
    public static AnswerClass classify(ReceivedAnswer answer, String token) {
        return switch (answer.outcome()) {
            case "answered" -> classifyBackendAnswer(answer, token);
            case "not-run" -> answer.reason().isEmpty() ? AnswerClass.UNMARKED : AnswerClass.NOT_RUN;
            case "unknown" -> answer.reason().isEmpty() ? AnswerClass.UNMARKED : AnswerClass.UNKNOWN;
            default -> AnswerClass.UNMARKED;
        };
    }

    /**
     * Classifies a response that came from a backend server without a proxy.
     *
     * @param answer the response
     * @param token the token that the request asked the backend server to repeat in the body
     * @return the class
     */
    public static AnswerClass classifyDirect(ReceivedAnswer answer, String token) {
        return answer.notRun() ? AnswerClass.NOT_RUN : classifyBackendAnswer(answer, token);
    }

    private static AnswerClass classifyBackendAnswer(ReceivedAnswer answer, String token) {
        // A backend server that gives up at the deadline answers 504 with a short text instead of a full body.
        if (answer.status() == 503 || answer.status() == 504) {
            return AnswerClass.FAILED;
        }
        boolean whole = answer.body().startsWith("token=" + token + "\n")
                && answer.body().endsWith("\nend=" + token + "\n");
        if (!whole) {
            return AnswerClass.WRONG;
        }
        return answer.status() >= 500 ? AnswerClass.FAILED : AnswerClass.ANSWERED;
    }
}
