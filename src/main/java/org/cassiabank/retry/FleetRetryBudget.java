package org.cassiabank.retry;

/**
 * Limits the additional attempts of a whole fleet at one service, kept by the owner that sees all its requests.
 *
 * <p>The bound is a share of the requests plus a number for each window. Half of that number may be saved up, the other
 * half comes back over a window, so that no span of that length can hold more. Instances are not thread-safe. Times
 * come from a clock that does not go back.
 */
public final class FleetRetryBudget {
    /** The part of the bound that is used; attempts through a former owner take some of the rest. */
    private static final double USED_SHARE = 0.8;

    private final double tokensPerRequest;
    private final double tokensPerMilli;
    private final double capacity;
    private double tokens;
    private long lastMillis;

    private FleetRetryBudget(double tokensPerRequest, double tokensPerMilli, double capacity, long nowMillis) {
        this.tokensPerRequest = tokensPerRequest;
        this.tokensPerMilli = tokensPerMilli;
        this.capacity = capacity;
        this.tokens = capacity / 2;
        this.lastMillis = nowMillis;
    }

    /**
     * Creates a budget. It starts with half of what may be saved up, because a former owner may have spent the rest.
     *
     * @param ratio the additional attempts that each request allows, from 0 to 1
     * @param slack the additional attempts that are allowed in a window besides, not negative
     * @param windowMillis the length of the window in milliseconds, positive
     * @param nowMillis the time in milliseconds
     * @return the budget
     * @throws IllegalArgumentException if an argument is out of range
     */
    public static FleetRetryBudget create(double ratio, double slack, long windowMillis, long nowMillis) {
        if (!(ratio >= 0 && ratio <= 1) || !(slack >= 0) || windowMillis < 1) {
            throw new IllegalArgumentException(
                    "ratio " + ratio + ", slack " + slack + " or window " + windowMillis + " is out of range");
        }
        double half = slack * USED_SHARE / 2;
        return new FleetRetryBudget(ratio * USED_SHARE, half / windowMillis, Math.max(1, half), nowMillis);
    }

    /**
     * Counts the first attempt of a request.
     *
     * @param nowMillis the time in milliseconds
     */
    public void recordRequest(long nowMillis) {
        refill(nowMillis);
        tokens = Math.min(capacity, tokens + tokensPerRequest);
    }

    /**
     * Takes one token, if there is one.
     *
     * @param nowMillis the time in milliseconds
     * @return true if the additional attempt may be made
     */
    public boolean trySpend(long nowMillis) {
        refill(nowMillis);
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }

    private void refill(long nowMillis) {
        if (nowMillis > lastMillis) {
            tokens = Math.min(capacity, tokens + (nowMillis - lastMillis) * tokensPerMilli);
            lastMillis = nowMillis;
        }
    }
}
