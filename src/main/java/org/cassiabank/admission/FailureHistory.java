package org.cassiabank.admission;

/**
 * The recent failures of a backend server: the share of its attempts that failed, and the tests of it that were lost.
 */
final class FailureHistory {
    /**
     * The number of attempts over which the failure share is averaged. Three failures in a row raise it from 0 to 0.7,
     * so that a server that fails fast gets few requests.
     */
    private static final double FAILURE_AVERAGE_ATTEMPTS = 3;

    /** The failure share halves in this time, so that a server that gets no work is tried again after about as long. */
    private static final double FAILURE_HALF_LIFE_MILLIS = 5_000;

    /** Failures with a common cause are reported within this time. */
    private static final long SAME_MOMENT_MILLIS = 500;

    private double failureShare;
    private long failureShareUpdatedAtMillis;
    private int failedUnrepeatableTests;

    private long failuresSinceMillis = Long.MIN_VALUE / 2;
    private double failureShareBefore;
    private int failedUnrepeatableTestsBefore;

    /** Returns the share of the recent attempts that failed, 0 to 1. */
    double failureShare(long nowMillis) {
        // Called for each server and grant; the exponential is skipped for servers that never failed.
        return failureShare == 0
                ? 0
                : failureShare * Math.pow(0.5, (nowMillis - failureShareUpdatedAtMillis) / FAILURE_HALF_LIFE_MILLIS);
    }

    /** Returns the unrepeatable tests that failed since the last response of the server while it was in use. */
    int failedUnrepeatableTests() {
        return failedUnrepeatableTests;
    }

    void recordResponse(long nowMillis) {
        updateFailureShare(0, nowMillis);
    }

    void recordFailure(long nowMillis) {
        rememberState(nowMillis);
        updateFailureShare(1, nowMillis);
    }

    /** Records that an unrepeatable request tested the server and is lost. */
    void recordFailedUnrepeatableTest(long nowMillis) {
        rememberState(nowMillis);
        failedUnrepeatableTests++;
    }

    void forgetFailedUnrepeatableTests() {
        failedUnrepeatableTests = 0;
    }

    /** Takes back the failures of this moment, because the server is not their cause. */
    void excuseFailures(long nowMillis) {
        if (nowMillis - failuresSinceMillis <= SAME_MOMENT_MILLIS) {
            failureShare = failureShareBefore;
            failureShareUpdatedAtMillis = nowMillis;
            failedUnrepeatableTests = failedUnrepeatableTestsBefore;
        }
    }

    private void rememberState(long nowMillis) {
        if (nowMillis - failuresSinceMillis > SAME_MOMENT_MILLIS) {
            failuresSinceMillis = nowMillis;
            failureShareBefore = failureShare(nowMillis);
            failedUnrepeatableTestsBefore = failedUnrepeatableTests;
        }
    }

    private void updateFailureShare(double failure, long nowMillis) {
        double share = failureShare(nowMillis);
        failureShare = share + (failure - share) / FAILURE_AVERAGE_ATTEMPTS;
        failureShareUpdatedAtMillis = nowMillis;
    }
}
