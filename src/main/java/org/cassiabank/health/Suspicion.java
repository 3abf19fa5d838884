package org.cassiabank.health;

import java.util.Optional;

/**
 * Ejects a server for a short time after one or two abrupt failures.
 *
 * <p>A connection that breaks after a request was written almost never happens at a healthy server, so one such failure
 * is enough. Server errors and overdue attempts also occur at healthy servers, so two close together are needed.
 * Overdue attempts count by the time at which they were sent, those in flight too ({@link UnansweredRequests}). This
 * covers request rates that are too low for the outlier test: at 3.5 requests a second a server would fail a dozen
 * requests before the outlier test ejects it.
 */
final class Suspicion {
    /** The score decays between two errors in quick succession, so a score slightly below 2 suffices. */
    private static final double SCORE_THRESHOLD = 1.8;

    /** A fault of the whole service, or a late daemon, leaves requests unanswered at all servers. */
    private static final double MEDIAN_SCORE_FACTOR = 1;

    private static final double BROKEN_SCORE = 2;
    private static final double ERROR_SCORE = 1;
    /** Four good responses cancel one server error, also if they come before its end but were sent after it. */
    private static final double RESPONSE_SCORE_REDUCTION = UnansweredRequests.RESPONSE_SCORE_REDUCTION;

    /** The score falls by half in this time. */
    private static final double SCORE_HALF_LIFE_MILLIS = 5_000;

    private static final double HOLD_OFF_GROWTH_FACTOR = 1.5;
    /** The hold-off starts from the first one again after the server has been healthy for this time. */
    private static final long HOLD_OFF_RESET_MILLIS = 10_000;

    private final SuspicionSettings settings;
    private ServerHealth health = ServerHealth.HEALTHY;
    private double score;
    private long scoreUpdatedMillis;
    private double holdOffMillis;
    /** Whether the servers in use can hardly carry the load. */
    private boolean isNeeded;

    private long stateStartMillis;
    private long holdOffStartMillis;
    private int goodResponses;
    /** When the latest trial was sent that was answered, in milliseconds. */
    private long answeredTrialMillis;

    private final UnansweredRequests unansweredRequests = new UnansweredRequests();
    /** The state before the latest broken connections; empty if there were none, or if they were excused. */
    private Optional<FormerState> stateBeforeBreaks = Optional.empty();

    Suspicion(SuspicionSettings settings, long nowMillis) {
        this.settings = settings;
        this.holdOffMillis = settings.firstHoldOffMillis();
        this.stateStartMillis = nowMillis;
        this.scoreUpdatedMillis = nowMillis;
    }

    ServerHealth health() {
        return health;
    }

    /** Returns the time in milliseconds at which the present state began. */
    long stateStartMillis() {
        return stateStartMillis;
    }

    /**
     * Records a completed attempt.
     *
     * @param outcome the outcome of the attempt
     * @param repeatable whether its request may run again at another server
     * @param startMillis the time in milliseconds at which the attempt was sent
     * @param nowMillis the time in milliseconds
     */
    void recordAttempt(AttemptOutcome outcome, boolean repeatable, long startMillis, long nowMillis) {
        if (outcome == AttemptOutcome.BROKEN) {
            rememberState(nowMillis);
        }
        switch (outcome) {
            case ANSWERED -> unansweredRequests.recordResponse(startMillis);
            case OVERDUE -> unansweredRequests.recordOverdue(startMillis);
            case BROKEN, SPOILED, FAILED, NOT_RUN, CANCELLED -> {
                // They do not tell whether the server answers.
            }
        }
        switch (health) {
            case HEALTHY -> updateScore(outcome, startMillis, nowMillis);
            case PROBATION -> {
                // An attempt from before the probation is no evidence about the server after the hold-off.
                if (startMillis >= stateStartMillis) {
                    recordTrial(outcome, repeatable, startMillis, nowMillis);
                }
            }
            case EJECTED -> {
                // Attempts that were in flight at the ejection end now; they are no further evidence.
            }
        }
    }

    private void rememberState(long nowMillis) {
        boolean isSameMoment = stateBeforeBreaks
                .filter(former -> nowMillis - former.rememberedMillis() <= SimultaneousBreaks.LATE_REPORT_MILLIS)
                .isPresent();
        if (!isSameMoment) {
            stateBeforeBreaks = Optional.of(new FormerState(
                    health, score, scoreUpdatedMillis, holdOffMillis, stateStartMillis, holdOffStartMillis, nowMillis));
        }
    }

    /** Takes back what the latest broken connections have changed, because the server is not their cause. */
    void excuseBreaks() {
        stateBeforeBreaks.ifPresent(former -> {
            health = former.health();
            score = former.score();
            scoreUpdatedMillis = former.scoreUpdatedMillis();
            holdOffMillis = former.holdOffMillis();
            stateStartMillis = former.stateStartMillis();
            holdOffStartMillis = former.holdOffStartMillis();
        });
        stateBeforeBreaks = Optional.empty();
    }

    /**
     * Records an attempt in flight.
     *
     * @param startMillis the time in milliseconds at which the attempt was sent
     * @param longerShare the share of the responses of its route that take longer than the attempt has taken, 0 to 1
     * @param nowMillis the time in milliseconds
     */
    void recordInFlight(long startMillis, double longerShare, long nowMillis) {
        unansweredRequests.recordInFlight(startMillis, UnansweredRequests.scoreInFlight(longerShare), nowMillis);
    }

    /** Forgets the attempts in flight, because their ages say nothing about the server. */
    void forgetInFlight() {
        unansweredRequests.forgetRequestsInFlight();
    }

    /** Returns the score of the requests that the server leaves unanswered. */
    double unansweredScore() {
        return unansweredRequests.score();
    }

    /**
     * Ejects the server if it leaves requests unanswered, or begins the probation if the hold-off is over.
     *
     * @param needed whether the servers in use can hardly carry the load, which shortens the hold-off and the probation
     * @param medianUnansweredScore the median of {@link #unansweredScore()} of the servers of the shard
     * @param nowMillis the time in milliseconds
     */
    void advance(boolean needed, double medianUnansweredScore, long nowMillis) {
        isNeeded = needed;
        if (health == ServerHealth.HEALTHY
                && decayedScore(nowMillis) + unansweredScore() - MEDIAN_SCORE_FACTOR * medianUnansweredScore
                        >= SCORE_THRESHOLD) {
            eject(nowMillis);
        }
        double effectiveMillis = needed ? settings.neededHoldOffMillis() : holdOffMillis;
        if (health == ServerHealth.EJECTED && nowMillis - holdOffStartMillis >= effectiveMillis) {
            enterState(ServerHealth.PROBATION, nowMillis);
        }
    }

    private void updateScore(AttemptOutcome outcome, long startMillis, long nowMillis) {
        score = decayedScore(nowMillis);
        scoreUpdatedMillis = nowMillis;
        double laterResponsesScore = RESPONSE_SCORE_REDUCTION * unansweredRequests.responsesSentAfter(startMillis);
        switch (outcome) {
            case BROKEN, SPOILED -> score += Math.max(0, BROKEN_SCORE - laterResponsesScore);
            case FAILED -> score += Math.max(0, ERROR_SCORE - laterResponsesScore);
            case ANSWERED -> score = Math.max(0, score - RESPONSE_SCORE_REDUCTION);
            case OVERDUE, NOT_RUN, CANCELLED -> {
                // Overdue attempts count by the time at which they were sent; the others are no evidence about
                // executed requests.
            }
        }
        if (score >= SCORE_THRESHOLD) {
            eject(nowMillis);
        }
    }

    private double decayedScore(long nowMillis) {
        return score * Math.pow(0.5, (nowMillis - scoreUpdatedMillis) / SCORE_HALF_LIFE_MILLIS);
    }

    private void eject(long nowMillis) {
        boolean isHoldOffReset = nowMillis - stateStartMillis >= HOLD_OFF_RESET_MILLIS;
        holdOffMillis = isHoldOffReset ? settings.firstHoldOffMillis() : holdOffMillis;
        enterState(ServerHealth.EJECTED, nowMillis);
    }

    private void recordTrial(AttemptOutcome outcome, boolean repeatable, long startMillis, long nowMillis) {
        if (outcome.isEvidenceAgainstServer() && startMillis < answeredTrialMillis) {
            // A trial that was sent later has been answered.
            return;
        }
        switch (outcome) {
            case ANSWERED -> {
                goodResponses++;
                answeredTrialMillis = Math.max(answeredTrialMillis, startMillis);
                if (goodResponses >= (isNeeded ? 1 : settings.requiredResponses())) {
                    enterState(ServerHealth.HEALTHY, nowMillis);
                }
            }
            case BROKEN, SPOILED, FAILED, OVERDUE -> {
                long maximumMillis =
                        repeatable ? settings.maximumRepeatableHoldOffMillis() : settings.maximumHoldOffMillis();
                holdOffMillis = Math.min(maximumMillis, holdOffMillis * HOLD_OFF_GROWTH_FACTOR);
                // The trials show that the server failed when they were sent, however late they end.
                long latestTrialMillis = unansweredRequests.latestSentMillis(startMillis);
                enterState(ServerHealth.EJECTED, nowMillis);
                holdOffStartMillis = latestTrialMillis;
            }
            case NOT_RUN, CANCELLED -> {
                // The probation needs another attempt.
            }
        }
    }

    private void enterState(ServerHealth next, long nowMillis) {
        health = next;
        stateStartMillis = nowMillis;
        holdOffStartMillis = nowMillis;
        goodResponses = 0;
        score = 0;
        scoreUpdatedMillis = nowMillis;
        answeredTrialMillis = nowMillis;
        if (next != ServerHealth.HEALTHY) {
            unansweredRequests.restart(nowMillis);
        }
    }

    /** The fields that a broken connection may change, as they were at a time in milliseconds. */
    private record FormerState(
            ServerHealth health,
            double score,
            long scoreUpdatedMillis,
            double holdOffMillis,
            long stateStartMillis,
            long holdOffStartMillis,
            long rememberedMillis) {}
}
