package org.cassiabank.admission;

/**
 * The estimated service time of one route: mean, 75th and 95th percentile, and cost class.
 */
final class RouteCost {
    /**
     * The mean covers about this many responses. Its standard error is 9% for exponential times, and it follows a
     * change quickly.
     */
    private static final double MEAN_RESPONSES = 64;

    /**
     * The lower bound of the first bucket of the histogram; each upper bound is the lower one times the growth factor.
     */
    private static final double FIRST_BUCKET_MICROS = 100;

    private static final double BUCKET_GROWTH_FACTOR = 1.1;
    private static final int BUCKETS = 140;
    /** At this number of responses all counts of the histogram are halved, so that it follows changes. */
    private static final int MAXIMUM_HISTOGRAM_RESPONSES = 1024;

    private static final int QUANTILE_INTERVAL_RESPONSES = 16;
    private static final int MINIMUM_QUANTILE_RESPONSES = 20;
    /** The minimum interval between requests that run although the estimate exceeds their deadline. */
    private static final long PROBE_INTERVAL_MILLIS = 1000;

    private final RouteBytes bytes = new RouteBytes();
    private final int[] histogram = new int[BUCKETS];
    private int histogramResponses;
    private int responsesSinceQuantiles;
    private double p75Micros;
    private double p95Micros;
    private long responses;
    private double meanMicros;
    private double recentResponses;
    private boolean longWork;
    private long lastProbeAtMillis = Long.MIN_VALUE / 2;

    void recordServiceTime(double serviceMicros) {
        responses++;
        recentResponses++;
        meanMicros += (serviceMicros - meanMicros) / Math.min(responses, MEAN_RESPONSES);
        int bucket =
                (int) (Math.log(Math.max(1, serviceMicros / FIRST_BUCKET_MICROS)) / Math.log(BUCKET_GROWTH_FACTOR));
        histogram[Math.min(BUCKETS - 1, bucket)]++;
        histogramResponses++;
        if (histogramResponses >= MAXIMUM_HISTOGRAM_RESPONSES) {
            histogramResponses = 0;
            for (int bucketIndex = 0; bucketIndex < BUCKETS; bucketIndex++) {
                histogram[bucketIndex] /= 2;
                histogramResponses += histogram[bucketIndex];
            }
        }
        responsesSinceQuantiles++;
        if (responses == MINIMUM_QUANTILE_RESPONSES
                || responsesSinceQuantiles >= QUANTILE_INTERVAL_RESPONSES && responses > MINIMUM_QUANTILE_RESPONSES) {
            responsesSinceQuantiles = 0;
            p75Micros = quantileMicros(0.75);
            p95Micros = quantileMicros(0.95);
        }
    }

    /** Raises the mean after a request without a response, whose duration is a lower bound of its service time. */
    void recordLowerBound(double serviceMicros) {
        if (responses > 0 && serviceMicros > meanMicros) {
            meanMicros += (serviceMicros - meanMicros) / MEAN_RESPONSES;
        }
    }

    RouteBytes bytes() {
        return bytes;
    }

    boolean hasResponses() {
        return responses > 0;
    }

    double meanMicros() {
        return meanMicros;
    }

    /** Returns the 95th percentile in microseconds, or 0 before the 20th response. */
    double p95Micros() {
        return p95Micros;
    }

    /** Returns the 75th percentile in microseconds, or 0 before the 20th response. */
    double p75Micros() {
        return p75Micros;
    }

    double recentResponses() {
        return recentResponses;
    }

    void decayRecentResponses(double factor) {
        recentResponses *= factor;
    }

    boolean isLongWork() {
        return longWork;
    }

    void setLongWork(boolean value) {
        longWork = value;
    }

    /**
     * Tells whether a request may run although the estimated time exceeds its deadline, and starts the interval until
     * the next one. Without such requests a mean that rose during a disturbance would never be corrected.
     */
    boolean tryProbe(long nowMillis) {
        if (nowMillis - lastProbeAtMillis < PROBE_INTERVAL_MILLIS) {
            return false;
        }
        lastProbeAtMillis = nowMillis;
        return true;
    }

    private double quantileMicros(double fraction) {
        long targetCount = (long) Math.ceil(histogramResponses * fraction);
        long cumulativeCount = 0;
        for (int bucketIndex = 0; bucketIndex < BUCKETS; bucketIndex++) {
            cumulativeCount += histogram[bucketIndex];
            if (cumulativeCount >= targetCount) {
                return FIRST_BUCKET_MICROS * Math.pow(BUCKET_GROWTH_FACTOR, bucketIndex + 1);
            }
        }
        return meanMicros;
    }
}
