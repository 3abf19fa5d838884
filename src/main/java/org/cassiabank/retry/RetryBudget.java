package org.cassiabank.retry;

import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicLongArray;

/**
 * Limits additional attempts to a share of the requests, so that retries cannot multiply the load of a failing service.
 *
 * <p>Instances are thread-safe.
 */
public final class RetryBudget {
    /** Tokens are counted in millionths, because sums of a binary fraction such as 0.1 drift. */
    private static final long UNITS_PER_TOKEN = 1_000_000;

    private final long unitsPerRequest;
    private final long capacityUnits;
    private final AtomicLong availableUnits = new AtomicLong();
    private final AtomicLongArray spentTokensByReason = new AtomicLongArray(RetryReason.values().length);

    private RetryBudget(long unitsPerRequest, long capacityUnits) {
        this.unitsPerRequest = unitsPerRequest;
        this.capacityUnits = capacityUnits;
    }

    /**
     * Creates a budget without tokens.
     *
     * @param ratio the tokens that each request adds, between 0 and 1; counted in millionths, rounded down
     * @param capacityTokens the maximum number of tokens that are kept, at least 1
     * @return the budget
     * @throws IllegalArgumentException if the ratio is not between 0 and 1 or the capacity is not positive
     */
    public static RetryBudget create(double ratio, int capacityTokens) {
        if (!(ratio >= 0 && ratio <= 1)) {
            throw new IllegalArgumentException("ratio must be between 0 and 1: " + ratio);
        }
        if (capacityTokens < 1) {
            throw new IllegalArgumentException("capacity must be at least 1 token: " + capacityTokens);
        }
        // The small addend keeps 0.1 * 1,000,000 from being rounded down to 99,999.
        return new RetryBudget((long) (ratio * UNITS_PER_TOKEN + 1e-6), capacityTokens * UNITS_PER_TOKEN);
    }

    /**
     * Creates a budget whose supply of tokens is practically unlimited, for attempts that are limited elsewhere.
     *
     * @return a budget with 9 trillion tokens, to which requests add none
     */
    public static RetryBudget unlimited() {
        RetryBudget budget = new RetryBudget(0, Long.MAX_VALUE);
        budget.availableUnits.set(Long.MAX_VALUE);
        return budget;
    }

    /**
     * Adds the tokens of one request. Must be called once for each request of a caller, not for each attempt.
     */
    public void recordRequest() {
        availableUnits.accumulateAndGet(
                unitsPerRequest,
                (currentUnits, addedUnits) -> Math.min(capacityUnits - addedUnits, currentUnits) + addedUnits);
    }

    /**
     * Spends one token if a whole one is available.
     *
     * @param reason why another attempt is made
     * @return true if the attempt may be made
     */
    public boolean trySpend(RetryReason reason) {
        long currentUnits = availableUnits.get();
        while (currentUnits >= UNITS_PER_TOKEN) {
            if (availableUnits.compareAndSet(currentUnits, currentUnits - UNITS_PER_TOKEN)) {
                spentTokensByReason.incrementAndGet(reason.ordinal());
                return true;
            }
            currentUnits = availableUnits.get();
        }
        return false;
    }

    /**
     * Returns how many tokens were spent for a reason since the budget was created.
     *
     * @param reason the reason that was passed to {@link #trySpend}
     * @return the number of tokens
     */
    public long spent(RetryReason reason) {
        return spentTokensByReason.get(reason.ordinal());
    }
}
