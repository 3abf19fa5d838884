package org.cassiabank.health;

/** The recent latencies of one route over all servers, as a histogram with four buckets per octave. */
final class LatencyProfile {
    private static final int BUCKETS_PER_OCTAVE = 4;
    private static final int BUCKETS = 40 * BUCKETS_PER_OCTAVE;
    private static final int MINIMUM_SAMPLES = 20;
    private static final double TIME_CONSTANT_MILLIS = 7_000;
    private static final double MAXIMUM_GROWTH = 1.05;
    private static final double RESCALE_AT = 1e100;
    private static final long REFRESH_MILLIS = 100;
    // A percentile below the median stays with the fast servers when half of them are slow.
    private static final double USUAL_QUANTILE = 0.4;
    private static final double TAIL_QUANTILE = 0.99;

    private final double[] weights = new double[BUCKETS];
    private double total;
    private double weight = 1;
    private long lastMillis = Long.MIN_VALUE;
    private long refreshedMillis = Long.MIN_VALUE;
    private int samples;
    private double usualMicros;
    private double tailMicros;

    void add(long latencyMicros, long nowMillis) {
        refresh(nowMillis);
        if (lastMillis != Long.MIN_VALUE && nowMillis > lastMillis) {
            // Limited growth keeps about 20 samples in force on a route that is rarely used.
            weight *= Math.min(MAXIMUM_GROWTH, Math.exp((nowMillis - lastMillis) / TIME_CONSTANT_MILLIS));
        }
        lastMillis = Math.max(lastMillis, nowMillis);
        double octaves = Math.log(Math.max(1, latencyMicros)) / Math.log(2);
        weights[Math.min(BUCKETS - 1, (int) (octaves * BUCKETS_PER_OCTAVE))] += weight;
        total += weight;
        samples = Math.min(MINIMUM_SAMPLES, samples + 1);
        if (weight > RESCALE_AT) {
            rescale();
        }
    }

    boolean isKnown(long nowMillis) {
        refresh(nowMillis);
        return usualMicros > 0;
    }

    double usualMicros() {
        return usualMicros;
    }

    double tailMicros() {
        return tailMicros;
    }

    private void refresh(long nowMillis) {
        boolean due = usualMicros == 0 || nowMillis >= refreshedMillis + REFRESH_MILLIS;
        if (due && samples == MINIMUM_SAMPLES) {
            usualMicros = quantile(USUAL_QUANTILE);
            tailMicros = quantile(TAIL_QUANTILE);
            refreshedMillis = nowMillis;
        }
    }

    private double quantile(double share) {
        double remaining = total * share;
        int index = 0;
        while (index < BUCKETS - 1 && remaining > weights[index]) {
            remaining -= weights[index];
            index++;
        }
        return Math.pow(2, (index + 0.5) / BUCKETS_PER_OCTAVE);
    }

    private void rescale() {
        total = 0;
        for (int index = 0; index < BUCKETS; index++) {
            weights[index] /= weight;
            total += weights[index];
        }
        weight = 1;
    }
}
