package org.cassiabank.health;

/**
 * A cumulative sum of log-likelihood ratios that tells a raised rate of bad samples from the usual rate.
 *
 * <p>Samples are summed up per time bucket, and a bucket adds at most the evidence of one bad sample. Attempts that end
 * together often have one common cause, such as a pause or a broken connection, and are not independent samples.
 */
final class SequentialTest {
    private final double usualFloor;
    private final double shift;
    private final long bucketMillis;
    private final double bucketLimit;
    private final double scoreLimit;
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
     */
    SequentialTest(double usualFloor, double shift, long bucketMillis, double threshold) {
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
        double ratio = ratio(bad, usualRate);
        pending += ratio;
        return ratio;
    }

    double score(long nowMillis) {
        advance(nowMillis);
        return sum();
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
