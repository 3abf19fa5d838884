package org.cassiabank.admission;

/**
 * The learned service time of one route.
 */
final class RouteCost {
    /** Mean over about this many responses: 9% standard error for exponential times, and quick to follow a change. */
    private static final double MEAN_ANSWERS = 64;

    private static final double FIRST_BUCKET_MICROS = 100;
    private static final double BUCKET_GROWTH = 1.1;
    private static final int BUCKETS = 140;
    private static final int HISTOGRAM_ANSWERS = 1024;
    private static final int QUANTILE_INTERVAL = 16;
    private static final int QUANTILE_ANSWERS = 20;
    private static final long PROBE_MILLIS = 1000;

    private final int[] histogram = new int[BUCKETS];
    private int histogramTotal;
    private int sinceQuantile;
    private double p75Micros;
    private double p95Micros;
    private long answers;
    private double meanMicros;
    private double recentAnswers;
    private boolean longWork;
    private long lastProbe = Long.MIN_VALUE / 2;

    void learn(double micros) {
        answers++;
        recentAnswers++;
        meanMicros += (micros - meanMicros) / Math.min(answers, MEAN_ANSWERS);
        int bucket = (int) (Math.log(Math.max(1, micros / FIRST_BUCKET_MICROS)) / Math.log(BUCKET_GROWTH));
        histogram[Math.min(BUCKETS - 1, bucket)]++;
        histogramTotal++;
        if (histogramTotal >= HISTOGRAM_ANSWERS) {
            histogramTotal = 0;
            for (int i = 0; i < BUCKETS; i++) {
                histogram[i] /= 2;
                histogramTotal += histogram[i];
            }
        }
        sinceQuantile++;
        if (answers == QUANTILE_ANSWERS || sinceQuantile >= QUANTILE_INTERVAL && answers > QUANTILE_ANSWERS) {
            sinceQuantile = 0;
            p75Micros = quantile(0.75);
            p95Micros = quantile(0.95);
        }
    }

    /** Takes a request that ended without a response as a lower bound of the service time. */
    void learnAtLeast(double micros) {
        if (answers > 0 && micros > meanMicros) {
            meanMicros += (micros - meanMicros) / MEAN_ANSWERS;
        }
    }

    boolean isLearned() {
        return answers > 0;
    }

    double meanMicros() {
        return meanMicros;
    }

    /** Returns the 95th percentile, or 0 while there are too few responses to tell. */
    double p95Micros() {
        return p95Micros;
    }

    /** Returns the third quartile, or 0 while there are too few responses to tell. */
    double p75Micros() {
        return p75Micros;
    }

    double recentAnswers() {
        return recentAnswers;
    }

    void decay(double factor) {
        recentAnswers *= factor;
    }

    boolean isLong() {
        return longWork;
    }

    void setLong(boolean value) {
        longWork = value;
    }

    /**
     * Tells whether a request may run although the learned time exceeds its deadline. Without such requests a mean that
     * was learned during a disturbance would stay for ever.
     */
    boolean tryProbe(long nowMillis) {
        if (nowMillis - lastProbe < PROBE_MILLIS) {
            return false;
        }
        lastProbe = nowMillis;
        return true;
    }

    private double quantile(double share) {
        long wanted = (long) Math.ceil(histogramTotal * share);
        long seen = 0;
        for (int i = 0; i < BUCKETS; i++) {
            seen += histogram[i];
            if (seen >= wanted) {
                return FIRST_BUCKET_MICROS * Math.pow(BUCKET_GROWTH, i + 1);
            }
        }
        return meanMicros;
    }
}
