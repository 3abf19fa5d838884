package org.cassiabank.health;

/**
 * The way of one server out of the shard and back: ejected for a hold-off, then on probation, then healthy.
 *
 * <p>The hold-off doubles with each ejection. It is halved after the server has been healthy for four times the last
 * hold-off, at least a minute, so that a server that flaps more slowly than its hold-off keeps it.
 */
final class Probation {
    private static final long MINIMUM_GOOD_MILLIS = 60_000;
    private static final int GOOD_HOLD_OFFS = 4;

    private final HealthSettings settings;
    private ServerHealth health = ServerHealth.HEALTHY;
    private long nextHoldOffMillis;
    private long sinceMillis;
    private long untilMillis;
    private int goodAnswers;
    private boolean hasFailed;

    Probation(HealthSettings settings, long nowMillis) {
        this.settings = settings;
        nextHoldOffMillis = settings.firstHoldOffMillis();
        sinceMillis = nowMillis;
    }

    ServerHealth health() {
        return health;
    }

    /**
     * Notes an attempt that ended, or was found slow, during probation.
     *
     * @param judgement what the attempt says about the server
     * @param startMillis when the attempt was sent, in milliseconds
     */
    void note(Judgement judgement, long startMillis) {
        // An attempt from before the ejection says nothing about the server after its hold-off.
        if (health == ServerHealth.PROBATION && startMillis >= sinceMillis) {
            hasFailed |= judgement == Judgement.BAD;
            goodAnswers += judgement == Judgement.GOOD ? 1 : 0;
        }
    }

    /**
     * Makes the changes that are due: hold-off over, probation failed or passed, hold-off shortened.
     *
     * @param nowMillis the time in milliseconds
     */
    void advance(long nowMillis) {
        switch (health) {
            case EJECTED -> {
                if (nowMillis >= untilMillis) {
                    enter(ServerHealth.PROBATION, nowMillis);
                }
            }
            case PROBATION -> {
                if (hasFailed) {
                    eject(nowMillis);
                } else if (goodAnswers >= settings.probationAnswers()) {
                    enter(ServerHealth.HEALTHY, nowMillis);
                }
            }
            case HEALTHY -> {
                long lastHoldOff = nextHoldOffMillis / 2;
                if (lastHoldOff >= settings.firstHoldOffMillis()
                        && nowMillis - sinceMillis >= Math.max(MINIMUM_GOOD_MILLIS, GOOD_HOLD_OFFS * lastHoldOff)) {
                    nextHoldOffMillis = lastHoldOff;
                    sinceMillis = nowMillis;
                }
            }
        }
    }

    void eject(long nowMillis) {
        enter(ServerHealth.EJECTED, nowMillis);
        untilMillis = nowMillis + Math.min(nextHoldOffMillis, settings.maximumHoldOffMillis());
        nextHoldOffMillis = Math.min(2 * nextHoldOffMillis, 2 * settings.maximumHoldOffMillis());
    }

    /**
     * Ends the ejection early because the floor needs the server.
     *
     * @param nowMillis the time in milliseconds
     */
    void readmit(long nowMillis) {
        enter(ServerHealth.HEALTHY, nowMillis);
    }

    private void enter(ServerHealth next, long nowMillis) {
        health = next;
        sinceMillis = nowMillis;
        goodAnswers = 0;
        hasFailed = false;
    }
}
