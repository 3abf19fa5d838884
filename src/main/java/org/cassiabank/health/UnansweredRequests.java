package org.cassiabank.health;

import java.util.ArrayList;
import java.util.List;

/**
 * Judges a server by the requests that it leaves unanswered, in the order in which they were sent.
 *
 * <p>A request says something about the server at the time at which it was sent, however late its end is known. So a
 * response outweighs requests that were sent before it, and a request in flight counts more the longer it takes
 * compared with the responses of its route. Judged by their ends alone, a server that answers four of ten requests
 * looks healthy until the others time out, and faulty for as long after its fault. Instances are not thread-safe.
 */
final class UnansweredRequests {
    static final double OVERDUE_SCORE = 1;
    /** Four responses cancel one request that was not answered in time. */
    static final double RESPONSE_SCORE_REDUCTION = 0.25;

    /** The share of requests that a silent server leaves unanswered; the score of a response corresponds to it. */
    private static final double SILENT_SHARE = 0.63;
    /** The log-likelihood ratio that corresponds to a score of 1. */
    private static final double LOG_RATIO_OF_SCORE = 4;
    /** The score falls by half for each such time between two requests. */
    private static final double SCORE_HALF_LIFE_MILLIS = 5_000;
    /** The observed start of a request moves by this much, because times are truncated to milliseconds. */
    private static final long START_TOLERANCE_MILLIS = 2;

    /** Limits how many responses it takes until a server that was silent for long counts as answering again. */
    private static final double MAXIMUM_SCORE = 2;

    private static final int MAXIMUM_ENDED_REQUESTS = 64;

    private final List<Request> endedRequests = new ArrayList<>();
    private final List<Request> requestsInFlight = new ArrayList<>();
    private long observedMillis = Long.MIN_VALUE;
    private long validFromMillis = Long.MIN_VALUE;

    /**
     * Returns the score of a request in flight.
     *
     * @param longerShare the share of the responses of its route that take longer than the request has taken, 0 to 1
     * @return the score, from 0 to {@link #OVERDUE_SCORE}
     */
    static double scoreInFlight(double longerShare) {
        if (longerShare <= 0) {
            return OVERDUE_SCORE;
        }
        double logRatio = Math.log((SILENT_SHARE + (1 - SILENT_SHARE) * longerShare) / longerShare);
        return Math.min(OVERDUE_SCORE, logRatio / LOG_RATIO_OF_SCORE);
    }

    /** Records a request that was answered, with the time in milliseconds at which it was sent. */
    void recordResponse(long startMillis) {
        recordEnd(new Request(startMillis, -RESPONSE_SCORE_REDUCTION));
    }

    /** Records a request that was not answered in time, with the time in milliseconds at which it was sent. */
    void recordOverdue(long startMillis) {
        recordEnd(new Request(startMillis, OVERDUE_SCORE));
    }

    /** Returns how many requests were answered that were sent after a time in milliseconds. */
    int responsesSentAfter(long millis) {
        int count = 0;
        for (int index = endedRequests.size() - 1;
                index >= 0 && endedRequests.get(index).startMillis() > millis;
                index--) {
            count += endedRequests.get(index).score() < 0 ? 1 : 0;
        }
        return count;
    }

    /**
     * Records a request in flight. The requests in flight are those that were recorded with the latest time.
     *
     * @param startMillis the time at which it was sent, in milliseconds
     * @param score its score as {@link #scoreInFlight(double)} returns it
     * @param nowMillis the time in milliseconds
     */
    void recordInFlight(long startMillis, double score, long nowMillis) {
        if (nowMillis != observedMillis) {
            observedMillis = nowMillis;
            requestsInFlight.clear();
        }
        if (startMillis >= validFromMillis) {
            insert(requestsInFlight, new Request(startMillis, score));
        }
    }

    /** Returns when the latest request in flight was sent, in milliseconds, or the given time if that is later. */
    long latestSentMillis(long earliestMillis) {
        return requestsInFlight.isEmpty()
                ? earliestMillis
                : Math.max(earliestMillis, requestsInFlight.getLast().startMillis());
    }

    /** Forgets all requests in flight, because their ages say nothing about the server. */
    void forgetRequestsInFlight() {
        requestsInFlight.clear();
    }

    /**
     * Forgets all requests, also those that were sent before a time and end after it.
     *
     * @param fromMillis the time from which on sent requests count, in milliseconds
     */
    void restart(long fromMillis) {
        validFromMillis = fromMillis;
        endedRequests.clear();
        requestsInFlight.clear();
    }

    /**
     * Returns the score of the server at the time of the latest request.
     *
     * @return the sum of the scores of the requests in the order in which they were sent, from 0 to 2
     */
    double score() {
        double score = 0;
        long previousMillis = 0;
        int endedIndex = 0;
        int inFlightIndex = 0;
        while (endedIndex < endedRequests.size() || inFlightIndex < requestsInFlight.size()) {
            boolean takesEnded = inFlightIndex == requestsInFlight.size()
                    || endedIndex < endedRequests.size()
                            && endedRequests.get(endedIndex).startMillis()
                                    <= requestsInFlight.get(inFlightIndex).startMillis();
            Request request = takesEnded ? endedRequests.get(endedIndex++) : requestsInFlight.get(inFlightIndex++);
            if (score > 0) {
                score *= Math.pow(0.5, (request.startMillis() - previousMillis) / SCORE_HALF_LIFE_MILLIS);
            }
            score = Math.clamp(score + request.score(), 0, MAXIMUM_SCORE);
            previousMillis = request.startMillis();
        }
        return score;
    }

    private void recordEnd(Request request) {
        if (request.startMillis() < validFromMillis) {
            return;
        }
        for (int index = 0; index < requestsInFlight.size(); index++) {
            if (Math.abs(requestsInFlight.get(index).startMillis() - request.startMillis()) <= START_TOLERANCE_MILLIS) {
                requestsInFlight.remove(index);
                break;
            }
        }
        if (endedRequests.size() == MAXIMUM_ENDED_REQUESTS) {
            endedRequests.removeFirst();
        }
        insert(endedRequests, request);
    }

    private static void insert(List<Request> requests, Request request) {
        int index = requests.size();
        while (index > 0 && requests.get(index - 1).startMillis() > request.startMillis()) {
            index--;
        }
        requests.add(index, request);
    }

    /** A request with the time at which it was sent and what it adds to the score. */
    private record Request(long startMillis, double score) {}
}
