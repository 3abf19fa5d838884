package org.cassiabank.retry;

/**
 * Limits the additional attempts of a whole fleet at one service. It is held by the owner, which receives all requests.
 *
 * <p>The bound on the additional attempts in a window is a share of the requests plus a fixed number, the slack. The
 * bucket holds at most half of the slack, and the other half is refilled over a window, so that no time span of that
 * length exceeds the bound. Instances are not thread-safe. Times must come from a monotonic clock; an earlier time adds
 * no tokens.
 */
public final class FleetRetryBudget {
    /** The share of the bound that is granted; attempts through a former owner may use some of the rest. */
    private static final double GRANTED_SHARE = 0.8;

    private final double tokensPerRequest;
    private final double tokensPerMillisecond;
    private final double capacityTokens;
    private double tokens;
    private long refilledAtMillis;

    private FleetRetryBudget(
            double tokensPerRequest, double tokensPerMillisecond, double capacityTokens, long nowMillis) {
        this.tokensPerRequest = tokensPerRequest;
        this.tokensPerMillisecond = tokensPerMillisecond;
        this.capacityTokens = capacityTokens;
        this.tokens = capacityTokens / 2;
        this.refilledAtMillis = nowMillis;
    }

    /**
     * Creates a budget that holds half of its capacity, because a former owner may have spent the rest.
     *
     * @param ratio the additional attempts that each request allows, from 0 to 1
     * @param slack the additional attempts that are allowed in a window besides the share of the requests, not negative
     * @param windowMillis the length of the window in milliseconds, at least 1
     * @param nowMillis the current time in milliseconds
     * @return the budget
     * @throws IllegalArgumentException if an argument is out of range
     */
    public static FleetRetryBudget create(double ratio, double slack, long windowMillis, long nowMillis) {
        if (!(ratio >= 0 && ratio <= 1) || !(slack >= 0) || windowMillis < 1) {
            throw new IllegalArgumentException(
                    "ratio " + ratio + ", slack " + slack + " or window " + windowMillis + " is out of range");
        }
        double halfSlackTokens = slack * GRANTED_SHARE / 2;
        return new FleetRetryBudget(
                ratio * GRANTED_SHARE, halfSlackTokens / windowMillis, Math.max(1, halfSlackTokens), nowMillis);
    }

    /**
     * Adds the tokens of one request. Must be called for its first attempt only.
     *
     * @param nowMillis the current time in milliseconds
     */
    public void recordRequest(long nowMillis) {
        refill(nowMillis);
        tokens = Math.min(capacityTokens, tokens + tokensPerRequest);
    }

    /**
     * Spends one token if a whole one is available.
     *
     * @param nowMillis the current time in milliseconds
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
        if (nowMillis > refilledAtMillis) {
            tokens = Math.min(capacityTokens, tokens + (nowMillis - refilledAtMillis) * tokensPerMillisecond);
            refilledAtMillis = nowMillis;
        }
    }
}
