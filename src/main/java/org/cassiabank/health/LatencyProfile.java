package org.cassiabank.health;

/** A histogram of the recent latencies of one route over all servers, with four buckets per doubling of the latency. */
final class LatencyProfile {
    private static final int BUCKETS_PER_OCTAVE = 4;
    private static final int BUCKET_COUNT = 40 * BUCKETS_PER_OCTAVE;
    private static final int MINIMUM_SAMPLES = 20;
    private static final double WEIGHT_TIME_CONSTANT_MILLIS = 7_000;
    private static final double MAXIMUM_WEIGHT_GROWTH = 1.05;
    // Prevents an overflow of the growing weights.
    private static final double RESCALE_WEIGHT = 1e100;
    private static final long REFRESH_INTERVAL_MILLIS = 100;
    // A percentile below the median remains that of the fast servers when half of the servers are slow.
    private static final double TYPICAL_QUANTILE = 0.4;
    private static final double TAIL_QUANTILE = 0.99;

    private final double[] bucketWeights = new double[BUCKET_COUNT];
    private double totalWeight;
    private double sampleWeight = 1;
    private long lastSampleMillis = Long.MIN_VALUE;
    private long lastRefreshMillis = Long.MIN_VALUE;
    private int sampleCount;
    private double typicalMicros;
    private double tailMicros;

    void add(long latencyMicros, long nowMillis) {
        refresh(nowMillis);
        if (lastSampleMillis != Long.MIN_VALUE && nowMillis > lastSampleMillis) {
            // The limit on growth keeps the weight of about 20 samples on a route that is rarely used.
            sampleWeight *= Math.min(
                    MAXIMUM_WEIGHT_GROWTH, Math.exp((nowMillis - lastSampleMillis) / WEIGHT_TIME_CONSTANT_MILLIS));
        }
        lastSampleMillis = Math.max(lastSampleMillis, nowMillis);
        bucketWeights[bucketIndex(latencyMicros)] += sampleWeight;
        totalWeight += sampleWeight;
        sampleCount = Math.min(MINIMUM_SAMPLES, sampleCount + 1);
        if (sampleWeight > RESCALE_WEIGHT) {
            rescale();
        }
    }

    boolean hasEstimate(long nowMillis) {
        refresh(nowMillis);
        return typicalMicros > 0;
    }

    double typicalMicros() {
        return typicalMicros;
    }

    double tailMicros() {
        return tailMicros;
    }

    /** Returns the weighted share of the latencies above the bucket of a latency in microseconds. */
    double shareAbove(long latencyMicros) {
        double weight = 0;
        for (int index = bucketIndex(latencyMicros) + 1; index < BUCKET_COUNT; index++) {
            weight += bucketWeights[index];
        }
        return totalWeight == 0 ? 1 : Math.min(1, weight / totalWeight);
    }

    private static int bucketIndex(long latencyMicros) {
        double octaves = Math.log(Math.max(1, latencyMicros)) / Math.log(2);
        return Math.min(BUCKET_COUNT - 1, (int) (octaves * BUCKETS_PER_OCTAVE));
    }

    private void refresh(long nowMillis) {
        boolean isDue = typicalMicros == 0 || nowMillis >= lastRefreshMillis + REFRESH_INTERVAL_MILLIS;
        if (isDue && sampleCount == MINIMUM_SAMPLES) {
            typicalMicros = quantileMicros(TYPICAL_QUANTILE);
            tailMicros = quantileMicros(TAIL_QUANTILE);
            lastRefreshMillis = nowMillis;
        }
    }

    private double quantileMicros(double share) {
        double remainingWeight = totalWeight * share;
        int index = 0;
        while (index < BUCKET_COUNT - 1 && remainingWeight > bucketWeights[index]) {
            remainingWeight -= bucketWeights[index];
            index++;
        }
        return Math.pow(2, (index + 0.5) / BUCKETS_PER_OCTAVE);
    }

    private void rescale() {
        totalWeight = 0;
        for (int index = 0; index < BUCKET_COUNT; index++) {
            bucketWeights[index] /= sampleWeight;
            totalWeight += bucketWeights[index];
        }
        sampleWeight = 1;
    }
}
