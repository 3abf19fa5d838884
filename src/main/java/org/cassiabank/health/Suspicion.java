package org.cassiabank.health;

import java.util.Optional;

/**
 * Ejects a server for a short time after one or two abrupt failures.
 *
 * <p>A connection that breaks after a request was written almost never happens at a healthy server, so one such failure
 * is enough. Server errors and overdue attempts also occur at healthy servers, so two close together are needed. This
 * covers request rates that are too low for the outlier test: at 3.5 requests a second a server would fail a dozen
 * requests before the outlier test ejects it.
 */
final class Suspicion {
    private static final double SCORE_THRESHOLD = 2;
    private static final double BROKEN_SCORE = 2;
    private static final double ERROR_SCORE = 1;
    /** Four good responses cancel one server error. */
    private static final double RESPONSE_SCORE_REDUCTION = 0.25;
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
    private int goodResponses;
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
     * @param startMillis the time in milliseconds at which the attempt was sent
     * @param nowMillis the time in milliseconds
     */
    void recordAttempt(AttemptOutcome outcome, long startMillis, long nowMillis) {
        if (outcome == AttemptOutcome.BROKEN) {
            rememberState(nowMillis);
        }
        switch (health) {
            case HEALTHY -> updateScore(outcome, nowMillis);
            case PROBATION -> {
                // An attempt from before the probation is no evidence about the server after the hold-off.
                if (startMillis >= stateStartMillis) {
                    recordTrial(outcome, nowMillis);
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
            stateBeforeBreaks = Optional.of(
                    new FormerState(health, score, scoreUpdatedMillis, holdOffMillis, stateStartMillis, nowMillis));
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
        });
        stateBeforeBreaks = Optional.empty();
    }

    /**
     * Begins the probation if the hold-off is over.
     *
     * @param needed whether the servers in use can hardly carry the load, which shortens the hold-off and the probation
     * @param nowMillis the time in milliseconds
     */
    void advance(boolean needed, long nowMillis) {
        isNeeded = needed;
        double effectiveMillis = needed ? settings.neededHoldOffMillis() : holdOffMillis;
        if (health == ServerHealth.EJECTED && nowMillis - stateStartMillis >= effectiveMillis) {
            enterState(ServerHealth.PROBATION, nowMillis);
        }
    }

    private void updateScore(AttemptOutcome outcome, long nowMillis) {
        score *= Math.pow(0.5, (nowMillis - scoreUpdatedMillis) / SCORE_HALF_LIFE_MILLIS);
        scoreUpdatedMillis = nowMillis;
        switch (outcome) {
            case BROKEN, SPOILED -> score += BROKEN_SCORE;
            case FAILED, OVERDUE -> score += ERROR_SCORE;
            case ANSWERED -> score = Math.max(0, score - RESPONSE_SCORE_REDUCTION);
            case NOT_RUN, CANCELLED -> {
                // Shed and cancelled attempts are no evidence about executed requests.
            }
        }
        // The score decays between two errors in quick succession, so a score slightly below the threshold suffices.
        if (score >= SCORE_THRESHOLD * 0.9) {
            boolean isHoldOffReset = nowMillis - stateStartMillis >= HOLD_OFF_RESET_MILLIS;
            holdOffMillis = isHoldOffReset ? settings.firstHoldOffMillis() : holdOffMillis;
            enterState(ServerHealth.EJECTED, nowMillis);
        }
    }

    private void recordTrial(AttemptOutcome outcome, long nowMillis) {
        switch (outcome) {
            case ANSWERED -> {
                goodResponses++;
                if (goodResponses >= (isNeeded ? 1 : settings.requiredResponses())) {
                    enterState(ServerHealth.HEALTHY, nowMillis);
                }
            }
            case BROKEN, SPOILED, FAILED, OVERDUE -> {
                holdOffMillis = Math.min(settings.maximumHoldOffMillis(), holdOffMillis * HOLD_OFF_GROWTH_FACTOR);
                enterState(ServerHealth.EJECTED, nowMillis);
            }
            case NOT_RUN, CANCELLED -> {
                // The probation needs another attempt.
            }
        }
    }

    private void enterState(ServerHealth next, long nowMillis) {
        health = next;
        stateStartMillis = nowMillis;
        goodResponses = 0;
        score = 0;
        scoreUpdatedMillis = nowMillis;
    }

    /** The fields that a broken connection may change, as they were at a time in milliseconds. */
    private record FormerState(
            ServerHealth health,
            double score,
            long scoreUpdatedMillis,
            double holdOffMillis,
            long stateStartMillis,
            long rememberedMillis) {}
}
