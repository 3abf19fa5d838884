package org.cassiabank.health;

/**
 * The health state of one server: ejected for a hold-off, then on probation, then healthy again.
 *
 * <p>The hold-off doubles with each ejection. It is halved after the server has been healthy for four times the last
 * hold-off, at least a minute, so that a server that flaps more slowly than its hold-off does not get a shorter one.
 */
final class EjectionState {
    private static final long MINIMUM_HEALTHY_MILLIS = 60_000;
    private static final int HEALTHY_HOLD_OFFS = 4;
    /** The good responses that end the probation of a server that the load needs. */
    private static final int NEEDED_PROBATION_RESPONSES = 2;

    private final HealthSettings settings;
    private ServerHealth health = ServerHealth.HEALTHY;
    private long nextHoldOffMillis;
    // While the server is healthy, also the time of the last reduction of the hold-off.
    private long stateStartMillis;
    private long holdOffEndMillis;
    private int goodResponses;
    private boolean hasFailed;

    EjectionState(HealthSettings settings, long nowMillis) {
        this.settings = settings;
        nextHoldOffMillis = settings.firstHoldOffMillis();
        stateStartMillis = nowMillis;
    }

    ServerHealth health() {
        return health;
    }

    /**
     * Records an attempt that ended, or was found slow, during probation; ignored in other states.
     *
     * @param classification the attempt as evidence about the server
     * @param startMillis when the attempt was sent, in milliseconds
     */
    void recordAttempt(AttemptClassification classification, long startMillis) {
        // An attempt from before the probation is no evidence about the server after its hold-off.
        if (health == ServerHealth.PROBATION && startMillis >= stateStartMillis) {
            hasFailed |= classification == AttemptClassification.BAD;
            goodResponses += classification == AttemptClassification.GOOD ? 1 : 0;
        }
    }

    /**
     * Applies the transitions that are due: end of the hold-off, failed or passed probation, shorter next hold-off.
     *
     * @param needed whether the servers in use can hardly carry the load, which shortens the hold-off and the probation
     * @param nowMillis the time in milliseconds
     */
    void advance(boolean needed, long nowMillis) {
        switch (health) {
            case EJECTED -> {
                boolean isFirstHoldOffOver = nowMillis - stateStartMillis >= settings.firstHoldOffMillis();
                if (nowMillis >= holdOffEndMillis || needed && isFirstHoldOffOver) {
                    enterState(ServerHealth.PROBATION, nowMillis);
                }
            }
            case PROBATION -> {
                if (hasFailed) {
                    eject(nowMillis);
                } else if (goodResponses >= (needed ? NEEDED_PROBATION_RESPONSES : settings.probationResponses())) {
                    enterState(ServerHealth.HEALTHY, nowMillis);
                }
            }
            case HEALTHY -> {
                long lastHoldOffMillis = nextHoldOffMillis / 2;
                if (lastHoldOffMillis >= settings.firstHoldOffMillis()
                        && nowMillis - stateStartMillis
                                >= Math.max(MINIMUM_HEALTHY_MILLIS, HEALTHY_HOLD_OFFS * lastHoldOffMillis)) {
                    nextHoldOffMillis = lastHoldOffMillis;
                    stateStartMillis = nowMillis;
                }
            }
        }
    }

    void eject(long nowMillis) {
        enterState(ServerHealth.EJECTED, nowMillis);
        holdOffEndMillis = nowMillis + Math.min(nextHoldOffMillis, settings.maximumHoldOffMillis());
        nextHoldOffMillis = Math.min(2 * nextHoldOffMillis, 2 * settings.maximumHoldOffMillis());
    }

    /**
     * Ends the ejection early because the floor needs the server.
     *
     * @param nowMillis the time in milliseconds
     */
    void readmit(long nowMillis) {
        enterState(ServerHealth.HEALTHY, nowMillis);
    }

    private void enterState(ServerHealth next, long nowMillis) {
        health = next;
        stateStartMillis = nowMillis;
        goodResponses = 0;
        hasFailed = false;
    }
}
