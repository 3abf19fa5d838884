package org.cassiabank.health;

import java.util.Arrays;

/**
 * The share of the requests of a shard that were not served lately: refused, late, or failed for good.
 *
 * <p>Servers that fail requests have free slots, so that the load alone does not show that other servers are needed.
 * Instances are not thread-safe. All times must come from one monotonic clock.
 */
public final class UnservedShare {
    private static final long BUCKET_MILLIS = 250;
    private static final int BUCKETS = 8;
    private static final int MINIMUM_REQUESTS = 8;
    /** Healthy servers fail a few requests, and long ones of a route may exceed its timeout. */
    private static final double MAXIMUM_SHARE = 0.075;

    private final long[] served = new long[BUCKETS];
    private final long[] unserved = new long[BUCKETS];
    private long latestBucket;

    private UnservedShare(long nowMillis) {
        this.latestBucket = Math.floorDiv(nowMillis, BUCKET_MILLIS);
    }

    /**
     * Creates a share without requests.
     *
     * @param nowMillis the time in milliseconds
     * @return the share
     */
    public static UnservedShare create(long nowMillis) {
        return new UnservedShare(nowMillis);
    }

    /**
     * Records the end of an attempt. A repeatable request that fails before its deadline is tried again; if it may not
     * be, its refusal counts.
     *
     * @param outcome how it ended
     * @param repeatable whether the request may run again at another server
     * @param nowMillis the time in milliseconds
     */
    public void recordAttempt(AttemptOutcome outcome, boolean repeatable, long nowMillis) {
        int bucket = bucketAt(nowMillis);
        switch (outcome) {
            case ANSWERED -> served[bucket]++;
            case OVERDUE -> unserved[bucket]++;
            case FAILED, BROKEN, SPOILED -> unserved[bucket] += repeatable ? 0 : 1;
            case NOT_RUN, CANCELLED -> {
                // The request is tried again, refused or given up by its caller.
            }
        }
    }

    /**
     * Records the end of an attempt that may have tested a suspect server. A failed test does not count: if it did,
     * failed tests would be a reason for further tests, which fail as well.
     *
     * @param outcome how it ended
     * @param repeatable whether the request may run again at another server
     * @param suspectTest whether it tested a suspect server
     * @param nowMillis the time in milliseconds
     */
    public void recordAttempt(AttemptOutcome outcome, boolean repeatable, boolean suspectTest, long nowMillis) {
        if (!suspectTest || outcome == AttemptOutcome.ANSWERED) {
            recordAttempt(outcome, repeatable, nowMillis);
        }
    }

    /**
     * Records a request that is refused.
     *
     * @param nowMillis the time in milliseconds
     */
    public void recordRefusal(long nowMillis) {
        unserved[bucketAt(nowMillis)]++;
    }

    /**
     * Tells whether so many requests are not served that every server that may serve some of them is needed.
     *
     * @param nowMillis the time in milliseconds
     * @return true if more than 7.5% of the requests of the last two seconds were not served
     */
    public boolean isHigh(long nowMillis) {
        bucketAt(nowMillis);
        long unservedCount = Arrays.stream(unserved).sum();
        long count = unservedCount + Arrays.stream(served).sum();
        return count >= MINIMUM_REQUESTS && unservedCount > MAXIMUM_SHARE * count;
    }

    private int bucketAt(long nowMillis) {
        long bucket = Math.max(latestBucket, Math.floorDiv(nowMillis, BUCKET_MILLIS));
        if (bucket - latestBucket >= BUCKETS) {
            Arrays.fill(served, 0);
            Arrays.fill(unserved, 0);
        } else {
            for (long emptied = latestBucket + 1; emptied <= bucket; emptied++) {
                served[(int) Math.floorMod(emptied, BUCKETS)] = 0;
                unserved[(int) Math.floorMod(emptied, BUCKETS)] = 0;
            }
        }
        latestBucket = bucket;
        return (int) Math.floorMod(bucket, BUCKETS);
    }
}
