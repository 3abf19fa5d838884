package org.cassiabank.load;

import java.util.ArrayList;
import java.util.List;
import java.util.LongSummaryStatistics;
import java.util.Map;
import java.util.TreeMap;

/**
 * Measures, notes and chart series that several experiments report.
 */
public final class Measures {
    private static final long WINDOW_MILLIS = 250;

    private Measures() {}

    /**
     * Counts the samples per outcome, with the targets that no forbidden outcome and no foreign request id occurs.
     *
     * @param samples the samples
     * @return the measures, including the 99th percentile of the tool's send delay
     */
    public static List<Measure> ofOutcomes(Samples samples) {
        List<Measure> measures = new ArrayList<>();
        measures.add(Measure.of("requests sent", samples.size(), ""));
        for (Map.Entry<ObservedOutcome, Long> entry : samples.countByOutcome().entrySet()) {
            measures.add(Measure.of("answers " + entry.getKey(), entry.getValue(), ""));
        }
        measures.add(Measure.atMost("forbidden answers (wrong, unmarked, silent)", samples.countForbidden(), "", 0));
        measures.add(Measure.of("p99 delay of sending by the tool", samples.sendDelayP99Millis(), "ms"));
        long foreignRequestIds =
                samples.all().stream().filter(Sample::foreignRequestId).count();
        measures.add(Measure.atMost("answers with a request id that was not sent", foreignRequestIds, "", 0));
        return measures;
    }

    /**
     * Describes the reasons of refusals and errors, with their counts and the first and last arrival time of a request.
     *
     * @param samples the samples
     * @return one note per outcome and reason, sorted
     */
    public static List<String> describeReasons(Samples samples) {
        Map<String, List<Sample>> samplesByReason = new TreeMap<>();
        for (Sample sample : samples.all()) {
            if (!sample.reason().isEmpty()) {
                samplesByReason
                        .computeIfAbsent(sample.outcome() + " " + sample.reason(), reason -> new ArrayList<>())
                        .add(sample);
            }
        }
        List<String> notes = new ArrayList<>();
        samplesByReason.forEach((reason, samplesWithReason) -> {
            LongSummaryStatistics sentMillis = samplesWithReason.stream()
                    .mapToLong(sample -> sample.arrival().offsetNanos() / 1_000_000)
                    .summaryStatistics();
            notes.add(reason + ": " + samplesWithReason.size() + ", sent from " + sentMillis.getMin() + " to "
                    + sentMillis.getMax() + " ms");
        });
        return notes;
    }

    /**
     * Returns a chart series of a latency percentile over the arrival time, for answered requests in windows of 250 ms.
     *
     * @param name the name of the series
     * @param samples the samples
     * @param percentile the percentile, from 0 to 100
     * @return the series, with x in seconds and y in milliseconds; windows without answered requests are left out
     */
    public static Series latencySeries(String name, Samples samples, double percentile) {
        List<Double> x = new ArrayList<>();
        List<Double> y = new ArrayList<>();
        Samples answered = samples.withOutcome(ObservedOutcome.ANSWERED);
        long lastSentMillis = answered.all().stream()
                        .mapToLong(sample -> sample.arrival().offsetNanos())
                        .max()
                        .orElse(0)
                / 1_000_000;
        for (long fromMillis = 0; fromMillis <= lastSentMillis; fromMillis += WINDOW_MILLIS) {
            Samples window = answered.arrivedBetween(fromMillis, fromMillis + WINDOW_MILLIS);
            if (window.size() > 0) {
                x.add(fromMillis / 1_000.0);
                y.add(window.percentileMillis(percentile));
            }
        }
        return new Series(name, x, y);
    }

    /**
     * Returns a chart series of the rate of an outcome over the end time of the responses, in windows of 250 ms.
     *
     * @param name the name of the series
     * @param samples the samples
     * @param outcome the outcome
     * @return the series, with x in seconds and y in responses per second; windows without responses are left out
     */
    public static Series rateSeries(String name, Samples samples, ObservedOutcome outcome) {
        TreeMap<Long, Integer> countsByWindow = new TreeMap<>();
        for (Sample sample : samples.withOutcome(outcome).all()) {
            countsByWindow.merge(sample.endNanos() / 1_000_000 / WINDOW_MILLIS, 1, Integer::sum);
        }
        List<Double> x = new ArrayList<>();
        List<Double> y = new ArrayList<>();
        countsByWindow.forEach((window, count) -> {
            x.add(window * WINDOW_MILLIS / 1_000.0);
            y.add(count * 1_000.0 / WINDOW_MILLIS);
        });
        return new Series(name, x, y);
    }
}
