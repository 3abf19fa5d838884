package org.cassiabank.health;

/**
 * A cumulative sum (CUSUM) of log-likelihood ratios that detects a rate of bad samples above the baseline rate.
 *
 * <p>Samples are summed per time bucket, and a bucket adds at most the log-likelihood ratio of one bad sample. Attempts
 * that end together often have one common cause, such as a pause or a broken connection, and are not independent
 * samples.
 *
 * <p>The baseline rate is an estimate that lags when the whole service changes. The test therefore also compares the
 * samples since the score left 0 with the samples of the other servers in the same period.
 */
final class SequentialTest {
    private static final double PRIOR_SAMPLE_COUNT = 5;
    private static final double REQUIRED_LOG_RATIO = 13;
    // During a fault of the whole service the score is less exact, and the rates of healthy servers scatter more.
    private static final double RAISED_BASELINE_REQUIRED_LOG_RATIO = 23;
    private static final double RAISED_BASELINE_FACTOR = 3;

    private final double minimumBaselineRate;
    private final double rateShift;
    private final long bucketMillis;
    private final double bucketScoreLimit;
    private final double scoreLimit;
    private final SampleCounts shardCounts;
    private final SampleCounts ownCounts = new SampleCounts();
    private final SampleCounts shardCountsAtStart = new SampleCounts();
    private final SampleCounts ownCountsAtStart = new SampleCounts();
    private double completedBucketsScore;
    private double currentBucketScore;
    private long currentBucket = Long.MIN_VALUE;

    /**
     * Creates a test with score 0.
     *
     * @param minimumBaselineRate the lowest baseline rate that is assumed, from 0 to 1
     * @param rateShift the rate of bad samples to detect, as a share of the distance from the baseline rate to 1
     * @param bucketMillis the length of a time bucket in milliseconds
     * @param scoreThreshold the score at which the server is an outlier
     * @param shardCounts the count of the samples of all servers, to which the test adds its own
     */
    SequentialTest(
            double minimumBaselineRate,
            double rateShift,
            long bucketMillis,
            double scoreThreshold,
            SampleCounts shardCounts) {
        this.shardCounts = shardCounts;
        this.minimumBaselineRate = minimumBaselineRate;
        this.rateShift = rateShift;
        this.bucketMillis = bucketMillis;
        this.bucketScoreLimit = logLikelihoodRatio(true, minimumBaselineRate);
        // Without a limit, the score of a server that the floor keeps in use would take as long to fall as the fault
        // lasted.
        this.scoreLimit = 1.5 * scoreThreshold;
    }

    /**
     * Adds a sample to the score and to the counts of the server and the shard.
     *
     * @param isBad whether the sample is bad
     * @param baselineRate the rate of bad samples at the other servers, from 0 to 1
     * @param nowMillis the time in milliseconds
     * @return the log-likelihood ratio of the sample
     */
    double add(boolean isBad, double baselineRate, long nowMillis) {
        advanceBucket(nowMillis);
        if (completedBucketsScore == 0 && currentBucketScore == 0) {
            restartComparison();
        }
        ownCounts.add(isBad);
        shardCounts.add(isBad);
        double logRatio = logLikelihoodRatio(isBad, baselineRate);
        currentBucketScore += logRatio;
        return logRatio;
    }

    double score(long nowMillis) {
        advanceBucket(nowMillis);
        return currentScore();
    }

    /**
     * Tells whether the samples since the score left 0 differ from those of the other servers in the same period.
     *
     * @return true if the log-likelihood ratio of a separate rate for this server against the rate of the others
     *     reaches the required value
     */
    boolean isConfirmed() {
        double ownSamples = ownCounts.totalCount() - ownCountsAtStart.totalCount();
        double ownBadSamples = ownCounts.badCount() - ownCountsAtStart.badCount();
        double otherSamples =
                shardCounts.totalCount() - shardCountsAtStart.totalCount() - ownSamples + PRIOR_SAMPLE_COUNT;
        double otherBadSamples = shardCounts.badCount()
                - shardCountsAtStart.badCount()
                - ownBadSamples
                + PRIOR_SAMPLE_COUNT * minimumBaselineRate;
        double ownRate = ownBadSamples / Math.max(1, ownSamples);
        double baseline = otherBadSamples / otherSamples;
        if (ownRate <= baseline) {
            return false;
        }
        double goodLogRatio = ownRate < 1 ? (ownSamples - ownBadSamples) * Math.log((1 - ownRate) / (1 - baseline)) : 0;
        double requiredLogRatio = baseline > RAISED_BASELINE_FACTOR * minimumBaselineRate
                ? RAISED_BASELINE_REQUIRED_LOG_RATIO
                : REQUIRED_LOG_RATIO;
        return ownBadSamples * Math.log(ownRate / baseline) + goodLogRatio >= requiredLogRatio;
    }

    /** Begins a new comparison period; the last one contains samples of a server that has been ejected. */
    void restartComparison() {
        ownCountsAtStart.copyFrom(ownCounts);
        shardCountsAtStart.copyFrom(shardCounts);
    }

    void resetScore() {
        completedBucketsScore = 0;
        currentBucketScore = 0;
    }

    private double logLikelihoodRatio(boolean isBad, double baselineRate) {
        double baseline = Math.min(0.99, Math.max(minimumBaselineRate, baselineRate));
        double raisedRate = baseline + (1 - baseline) * rateShift;
        return isBad ? Math.log(raisedRate / baseline) : Math.log((1 - raisedRate) / (1 - baseline));
    }

    private void advanceBucket(long nowMillis) {
        long newBucket = Math.floorDiv(nowMillis, bucketMillis);
        if (newBucket > currentBucket) {
            completedBucketsScore = currentScore();
            currentBucketScore = 0;
            currentBucket = newBucket;
        }
    }

    private double currentScore() {
        return Math.clamp(completedBucketsScore + Math.min(currentBucketScore, bucketScoreLimit), 0, scoreLimit);
    }
}
