package org.cassiabank.health;

/**
 * The evidence about one server: the sequential tests of errors and slowness, the overdue attempts and the severity.
 */
final class ServerEvidence {
    // The minimum baseline rates are those of random errors and of latency outliers in a healthy service.
    private static final double MINIMUM_BASELINE_ERROR_RATE = 0.01;
    private static final double MINIMUM_BASELINE_SLOW_RATE = 0.02;
    private static final double ERROR_RATE_SHIFT = 0.25;
    private static final double SLOW_RATE_SHIFT = 0.6;
    // A pause makes all attempts in flight slow at once, so slowness is sampled at most every 100 ms.
    private static final long ERROR_BUCKET_MILLIS = 10;
    private static final long SLOW_BUCKET_MILLIS = 100;
    private static final double SEVERITY_SAMPLE_WEIGHT = 1 / 16.0;
    private static final double SLOW_SAMPLE_SEVERITY = 0.5;

    private final int serverIndex;
    private final SequentialTest errorTest;
    private final SequentialTest slownessTest;
    private final OverdueAttempts overdueAttempts = new OverdueAttempts();
    private double severity;
    private long lastResponseMillis = Long.MIN_VALUE / 2;
    private long lastSilentBucket = Long.MIN_VALUE;

    ServerEvidence(
            int serverIndex, HealthSettings settings, SampleCounts shardErrorCounts, SampleCounts shardSlowCounts) {
        this.serverIndex = serverIndex;
        errorTest = new SequentialTest(
                MINIMUM_BASELINE_ERROR_RATE,
                ERROR_RATE_SHIFT,
                ERROR_BUCKET_MILLIS,
                settings.errorThreshold(),
                shardErrorCounts);
        slownessTest = new SequentialTest(
                MINIMUM_BASELINE_SLOW_RATE,
                SLOW_RATE_SHIFT,
                SLOW_BUCKET_MILLIS,
                settings.slownessThreshold(),
                shardSlowCounts);
    }

    int serverIndex() {
        return serverIndex;
    }

    OverdueAttempts overdueAttempts() {
        return overdueAttempts;
    }

    double addErrorSample(boolean isError, double baselineRate, long nowMillis) {
        return errorTest.add(isError, baselineRate, nowMillis);
    }

    double addSlownessSample(boolean isSlow, double baselineRate, long nowMillis) {
        return slownessTest.add(isSlow, baselineRate, nowMillis);
    }

    void updateSeverity(boolean isError, boolean isSlow) {
        updateSeverity(isError ? 1 : isSlow ? SLOW_SAMPLE_SEVERITY : 0);
    }

    void recordResponse(long nowMillis) {
        lastResponseMillis = Math.max(lastResponseMillis, nowMillis);
    }

    /**
     * Records a time bucket without responses from the server as one failed attempt in the severity, at most once per
     * bucket.
     *
     * @param nowMillis the time in milliseconds
     * @return true once per bucket while at least two attempts are stalled and no response has come in a bucket's time
     */
    boolean recordSilence(long nowMillis) {
        long bucket = Math.floorDiv(nowMillis, SLOW_BUCKET_MILLIS);
        // One stalled attempt may be due to a silent connection or a very long request; two are evidence of a stalled
        // server.
        boolean isNewSilence = bucket > lastSilentBucket
                && nowMillis - lastResponseMillis >= SLOW_BUCKET_MILLIS
                && overdueAttempts.countStalled(nowMillis) >= 2;
        if (isNewSilence) {
            lastSilentBucket = bucket;
            updateSeverity(1);
        }
        return isNewSilence;
    }

    SequentialTest errorTest() {
        return errorTest;
    }

    SequentialTest slownessTest() {
        return slownessTest;
    }

    /**
     * Returns the recent share of failed attempts, in which slow attempts count half.
     *
     * @return the severity, from 0 to 1
     */
    double severity() {
        return severity;
    }

    /**
     * Begins a new comparison of errors. The comparison of slowness continues, because almost all attempts at a slow
     * server are slow.
     */
    void restartErrorComparison() {
        errorTest.restartComparison();
    }

    void resetTests() {
        errorTest.resetScore();
        slownessTest.resetScore();
    }

    private void updateSeverity(double sampleSeverity) {
        severity += (sampleSeverity - severity) * SEVERITY_SAMPLE_WEIGHT;
    }
}
