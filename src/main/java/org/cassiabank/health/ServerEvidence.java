package org.cassiabank.health;

/** What is known about the work of one server: the two sequential tests, the overdue attempts and the severity. */
final class ServerEvidence {
    // The lowest usual rates are those of random errors and of outliers in a healthy service.
    private static final double USUAL_ERRORS = 0.01;
    private static final double USUAL_SLOW = 0.02;
    private static final double ERROR_SHIFT = 0.25;
    private static final double SLOW_SHIFT = 0.6;
    // A pause makes all attempts in flight slow at once, so slowness is sampled at most every 100 ms.
    private static final long ERROR_BUCKET_MILLIS = 10;
    private static final long SLOW_BUCKET_MILLIS = 100;
    private static final double SEVERITY_SHARE = 1 / 16.0;
    private static final double SLOW_SEVERITY = 0.5;

    private final int index;
    private final SequentialTest errors;
    private final SequentialTest slowness;
    private final OverdueAttempts overdue = new OverdueAttempts();
    private double severity;
    private long lastAnswerMillis = Long.MIN_VALUE / 2;
    private long lastSilentBucket = Long.MIN_VALUE;

    ServerEvidence(int index, HealthSettings settings, SampleCounts allErrors, SampleCounts allSlow) {
        this.index = index;
        errors = new SequentialTest(
                USUAL_ERRORS, ERROR_SHIFT, ERROR_BUCKET_MILLIS, settings.errorThreshold(), allErrors);
        slowness =
                new SequentialTest(USUAL_SLOW, SLOW_SHIFT, SLOW_BUCKET_MILLIS, settings.slownessThreshold(), allSlow);
    }

    int index() {
        return index;
    }

    OverdueAttempts overdue() {
        return overdue;
    }

    double addError(boolean isError, double usualRate, long nowMillis) {
        return errors.add(isError, usualRate, nowMillis);
    }

    double addSlowness(boolean isSlow, double usualRate, long nowMillis) {
        return slowness.add(isSlow, usualRate, nowMillis);
    }

    void weigh(boolean isError, boolean isSlow) {
        weigh(isError ? 1 : isSlow ? SLOW_SEVERITY : 0);
    }

    void noteAnswer(long nowMillis) {
        lastAnswerMillis = Math.max(lastAnswerMillis, nowMillis);
    }

    /**
     * Tells whether the server has been silent in a time bucket that has not been counted yet.
     *
     * @param nowMillis the time in milliseconds
     * @return true once per bucket while at least two attempts are stalled and no response has come in a bucket's time
     */
    boolean isSilent(long nowMillis) {
        long bucket = Math.floorDiv(nowMillis, SLOW_BUCKET_MILLIS);
        // One stalled attempt may be a silent connection or a very long request; two say more about the server.
        boolean silent = bucket > lastSilentBucket
                && nowMillis - lastAnswerMillis >= SLOW_BUCKET_MILLIS
                && overdue.stalled(nowMillis) >= 2;
        if (silent) {
            lastSilentBucket = bucket;
            weigh(1);
        }
        return silent;
    }

    SequentialTest errors() {
        return errors;
    }

    SequentialTest slowness() {
        return slowness;
    }

    /**
     * Returns the recent share of failed work, in which slow work counts half.
     *
     * @return the severity, from 0 to 1
     */
    double severity() {
        return severity;
    }

    /** Begins a new comparison of errors; almost all work of a slow server is slow, so its comparison can go on. */
    void restartErrorComparison() {
        errors.restartComparison();
    }

    void resetTests() {
        errors.reset();
        slowness.reset();
    }

    private void weigh(double sample) {
        severity += (sample - severity) * SEVERITY_SHARE;
    }
}
