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
    private final AtomicLong units = new AtomicLong();
    private final AtomicLongArray spent = new AtomicLongArray(RetryReason.values().length);

    private RetryBudget(long unitsPerRequest, long capacityUnits) {
        this.unitsPerRequest = unitsPerRequest;
        this.capacityUnits = capacityUnits;
    }

    /**
     * Creates an empty budget.
     *
     * @param ratio the tokens that each request adds, between 0 and 1; counted in millionths, rounded down
     * @param capacity the most tokens that are kept
     * @return the budget
     * @throws IllegalArgumentException if the ratio is not between 0 and 1 or the capacity is not positive
     */
    public static RetryBudget create(double ratio, int capacity) {
        if (!(ratio >= 0 && ratio <= 1)) {
            throw new IllegalArgumentException("ratio must be between 0 and 1: " + ratio);
        }
        if (capacity < 1) {
            throw new IllegalArgumentException("capacity must be at least 1 token: " + capacity);
        }
        // The small addend keeps 0.1 * 1,000,000 from being rounded down to 99,999.
        return new RetryBudget((long) (ratio * UNITS_PER_TOKEN + 1e-6), capacity * UNITS_PER_TOKEN);
    }

    /**
     * Creates a budget that never runs out, for attempts that somebody else limits.
     *
     * @return the budget
     */
    public static RetryBudget unlimited() {
        RetryBudget budget = new RetryBudget(0, Long.MAX_VALUE);
        budget.units.set(Long.MAX_VALUE);
        return budget;
    }

    /**
     * Adds the share of one request. Called once for each request of a caller, not for attempts.
     */
    public void recordRequest() {
        units.accumulateAndGet(unitsPerRequest, (held, added) -> Math.min(capacityUnits - added, held) + added);
    }

    /**
     * Takes one token, if there is one.
     *
     * @param reason why the request is sent once more
     * @return true if the attempt may be made
     */
    public boolean trySpend(RetryReason reason) {
        long held = units.get();
        while (held >= UNITS_PER_TOKEN) {
            if (units.compareAndSet(held, held - UNITS_PER_TOKEN)) {
                spent.incrementAndGet(reason.ordinal());
                return true;
            }
            held = units.get();
        }
        return false;
    }

    /**
     * Returns how many tokens were spent for a reason.
     *
     * @param reason the reason
     * @return the number since the budget was created
     */
    public long spent(RetryReason reason) {
        return spent.get(reason.ordinal());
    }
}
