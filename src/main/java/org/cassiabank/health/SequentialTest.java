package org.cassiabank.health;

/**
 * A cumulative sum of log-likelihood ratios that tells a raised rate of bad samples from the usual rate.
 *
 * <p>Samples are summed up per time bucket, and a bucket adds at most the evidence of one bad sample. Attempts that end
 * together often have one common cause, such as a pause or a broken connection, and are not independent samples.
 *
 * <p>The usual rate is an estimate that lags when the whole service changes. The test therefore also compares the
 * samples since the score left 0 with the samples of the other servers in the same period.
 */
final class SequentialTest {
    private static final double PRIOR_SAMPLES = 5;
    private static final double QUIET_EXCESS = 13;
    // During a fault of the whole service the score is less exact, and healthy servers scatter more.
    private static final double RAISED_EXCESS = 23;
    private static final double RAISED = 3;

    private final double usualFloor;
    private final double shift;
    private final long bucketMillis;
    private final double bucketLimit;
    private final double scoreLimit;
    private final SampleCounts shard;
    private final SampleCounts own = new SampleCounts();
    private final SampleCounts shardAtStart = new SampleCounts();
    private final SampleCounts ownAtStart = new SampleCounts();
    private double committed;
    private double pending;
    private long bucket = Long.MIN_VALUE;

    /**
     * Creates a test with score 0.
     *
     * @param usualFloor the lowest rate of bad samples that is assumed for the other servers
     * @param shift the rate of bad samples to detect, as a share of the way from the usual rate to 1
     * @param bucketMillis the length of a time bucket in milliseconds
     * @param threshold the score that the caller acts on
     * @param shard the count of the samples of all servers, to which the test adds its own
     */
    SequentialTest(double usualFloor, double shift, long bucketMillis, double threshold, SampleCounts shard) {
        this.shard = shard;
        this.usualFloor = usualFloor;
        this.shift = shift;
        this.bucketMillis = bucketMillis;
        this.bucketLimit = ratio(true, usualFloor);
        // Without a limit, a server that the floor keeps in use would need as long to recover as its fault lasted.
        this.scoreLimit = 1.5 * threshold;
    }

    /**
     * Adds a sample.
     *
     * @param bad whether the sample is bad
     * @param usualRate the rate of bad samples at the other servers
     * @param nowMillis the time in milliseconds
     * @return the log-likelihood ratio of the sample
     */
    double add(boolean bad, double usualRate, long nowMillis) {
        advance(nowMillis);
        if (committed == 0 && pending == 0) {
            restartComparison();
        }
        own.add(bad);
        shard.add(bad);
        double ratio = ratio(bad, usualRate);
        pending += ratio;
        return ratio;
    }

    double score(long nowMillis) {
        advance(nowMillis);
        return sum();
    }

    /**
     * Tells whether the samples since the score left 0 differ from those of the other servers in the same period.
     *
     * @return true if a separate rate for this server explains its samples much better than the rate of the others
     */
    boolean isConfirmed() {
        double samples = own.total() - ownAtStart.total();
        double bad = own.bad() - ownAtStart.bad();
        double otherSamples = shard.total() - shardAtStart.total() - samples + PRIOR_SAMPLES;
        double otherBad = shard.bad() - shardAtStart.bad() - bad + PRIOR_SAMPLES * usualFloor;
        double rate = bad / Math.max(1, samples);
        double usual = otherBad / otherSamples;
        if (rate <= usual) {
            return false;
        }
        double good = rate < 1 ? (samples - bad) * Math.log((1 - rate) / (1 - usual)) : 0;
        double required = usual > RAISED * usualFloor ? RAISED_EXCESS : QUIET_EXCESS;
        return bad * Math.log(rate / usual) + good >= required;
    }

    /** Begins a new period of comparison, because the last one contains the work of a server that has been ejected. */
    void restartComparison() {
        ownAtStart.set(own);
        shardAtStart.set(shard);
    }

    void reset() {
        committed = 0;
        pending = 0;
    }

    private double ratio(boolean bad, double usualRate) {
        double usual = Math.min(0.99, Math.max(usualFloor, usualRate));
        double raised = usual + (1 - usual) * shift;
        return bad ? Math.log(raised / usual) : Math.log((1 - raised) / (1 - usual));
    }

    private void advance(long nowMillis) {
        long current = Math.floorDiv(nowMillis, bucketMillis);
        if (current > bucket) {
            committed = sum();
            pending = 0;
            bucket = current;
        }
    }

    private double sum() {
        return Math.clamp(committed + Math.min(pending, bucketLimit), 0, scoreLimit);
    }
}
