package org.cassiabank.health;

/**
 * Avoids a server after very few abrupt failures, for a short time.
 *
 * <p>A connection that breaks after a request was written almost never happens at a healthy server, so one such failure
 * is enough; server errors and attempts that take several times the usual time of their route also occur at healthy
 * servers, so two close together are needed. It answers loads that are too small for the outlier test: at 3.5 requests
 * a second a server would fail a dozen requests before it stands out.
 */
final class Suspicion {
    private static final double THRESHOLD = 2;
    private static final double BROKEN_WEIGHT = 2;
    private static final double ERROR_WEIGHT = 1;
    /** Four good responses make up for a server error. */
    private static final double ANSWER_RELIEF = 0.25;
    /** Evidence loses half of its weight in this time. */
    private static final double HALF_LIFE_MILLIS = 5_000;

    private static final double HOLD_OFF_GROWTH = 2;
    /** A server that kept healthy for this long starts with the first hold-off again. */
    private static final long TRUST_MILLIS = 10_000;

    private final SuspicionSettings settings;
    private ServerHealth health = ServerHealth.HEALTHY;
    private double score;
    private long scoreAtMillis;
    private double holdOffMillis;
    private long sinceMillis;
    private int goodAnswers;

    Suspicion(SuspicionSettings settings, long nowMillis) {
        this.settings = settings;
        this.holdOffMillis = settings.firstHoldOffMillis();
        this.sinceMillis = nowMillis;
        this.scoreAtMillis = nowMillis;
    }

    ServerHealth health() {
        return health;
    }

    /** Returns when the present state began, in milliseconds. */
    long sinceMillis() {
        return sinceMillis;
    }

    /**
     * Notes the end of an attempt.
     *
     * @param outcome how it ended
     * @param startMillis when it was sent, in milliseconds
     * @param nowMillis the time in milliseconds
     */
    void note(AttemptOutcome outcome, long startMillis, long nowMillis) {
        switch (health) {
            case HEALTHY -> weigh(outcome, nowMillis);
            case PROBATION -> {
                // An attempt from before the hold-off says nothing about the server after it.
                if (startMillis >= sinceMillis) {
                    judgeTrial(outcome, nowMillis);
                }
            }
            case EJECTED -> {
                // Attempts that were under way end now; their failures are no news.
            }
        }
    }

    /** Ends a hold-off that is over. */
    void advance(long nowMillis) {
        if (health == ServerHealth.EJECTED && nowMillis - sinceMillis >= holdOffMillis) {
            enter(ServerHealth.PROBATION, nowMillis);
        }
    }

    private void weigh(AttemptOutcome outcome, long nowMillis) {
        score *= Math.pow(0.5, (nowMillis - scoreAtMillis) / HALF_LIFE_MILLIS);
        scoreAtMillis = nowMillis;
        switch (outcome) {
            case BROKEN -> score += BROKEN_WEIGHT;
            case FAILED, OVERDUE -> score += ERROR_WEIGHT;
            case ANSWERED -> score = Math.max(0, score - ANSWER_RELIEF);
            case NOT_RUN, CANCELLED -> {
                // Shed and cancelled work says nothing about the work that runs.
            }
        }
        // Evidence decays between two errors that follow at once, so the threshold is met a little below its value.
        if (score >= THRESHOLD * 0.9) {
            boolean isTrusted = nowMillis - sinceMillis >= TRUST_MILLIS;
            holdOffMillis = isTrusted ? settings.firstHoldOffMillis() : holdOffMillis;
            enter(ServerHealth.EJECTED, nowMillis);
        }
    }

    private void judgeTrial(AttemptOutcome outcome, long nowMillis) {
        switch (outcome) {
            case ANSWERED -> {
                goodAnswers++;
                if (goodAnswers >= settings.answers()) {
                    enter(ServerHealth.HEALTHY, nowMillis);
                }
            }
            case BROKEN, FAILED, OVERDUE -> {
                holdOffMillis = Math.min(settings.maximumHoldOffMillis(), holdOffMillis * HOLD_OFF_GROWTH);
                enter(ServerHealth.EJECTED, nowMillis);
            }
            case NOT_RUN, CANCELLED -> {
                // The trial has to be made again.
            }
        }
    }

    private void enter(ServerHealth next, long nowMillis) {
        health = next;
        sinceMillis = nowMillis;
        goodAnswers = 0;
        score = 0;
        scoreAtMillis = nowMillis;
    }
}
