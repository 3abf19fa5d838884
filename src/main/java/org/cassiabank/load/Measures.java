package org.cassiabank.load;

import java.util.ArrayList;
import java.util.List;
import java.util.LongSummaryStatistics;
import java.util.Map;
import java.util.TreeMap;

/**
 * Figures that several experiments report.
 */
public final class Measures {
    private static final long WINDOW_MILLIS = 250;

    private Measures() {}

    /**
     * Counts the responses per class, with the target that forbidden ones do not occur.
     *
     * @param samples the samples
     * @return the measures
     */
    public static List<Measure> ofClasses(Samples samples) {
        List<Measure> measures = new ArrayList<>();
        measures.add(Measure.of("requests sent", samples.size(), ""));
        for (Map.Entry<AnswerClass, Long> entry : samples.counts().entrySet()) {
            measures.add(Measure.of("answers " + entry.getKey(), entry.getValue(), ""));
        }
        measures.add(Measure.atMost("forbidden answers (wrong, unmarked, silent)", samples.forbidden(), "", 0));
        measures.add(Measure.of("p99 delay of sending by the tool", samples.sendDelayMillis(), "ms"));
        long foreignIds = samples.all().stream().filter(Sample::foreignId).count();
        measures.add(Measure.atMost("answers with a request id that was not sent", foreignIds, "", 0));
        return measures;
    }

    /**
     * Lists the reasons that proxies gave, with their numbers and the intended send times of the first and last one.
     *
     * @param samples the samples
     * @return one note per reason
     */
    public static List<String> reasons(Samples samples) {
        Map<String, List<Sample>> byReason = new TreeMap<>();
        for (Sample sample : samples.all()) {
            if (!sample.reason().isEmpty()) {
                byReason.computeIfAbsent(sample.answerClass() + " " + sample.reason(), reason -> new ArrayList<>())
                        .add(sample);
            }
        }
        List<String> notes = new ArrayList<>();
        byReason.forEach((reason, told) -> {
            LongSummaryStatistics times = told.stream()
                    .mapToLong(sample -> sample.arrival().atNanos() / 1_000_000)
                    .summaryStatistics();
            notes.add(reason + ": " + told.size() + ", sent from " + times.getMin() + " to " + times.getMax() + " ms");
        });
        return notes;
    }

    /**
     * Draws a percentile of the latency of responses over the intended send time.
     *
     * @param name the name of the series
     * @param samples the samples
     * @param percentile the percentile, from 0 to 100
     * @return the series, in seconds and milliseconds
     */
    public static Series latencySeries(String name, Samples samples, double percentile) {
        List<Double> x = new ArrayList<>();
        List<Double> y = new ArrayList<>();
        Samples answered = samples.of(AnswerClass.ANSWERED);
        long end = answered.all().stream()
                        .mapToLong(sample -> sample.arrival().atNanos())
                        .max()
                        .orElse(0)
                / 1_000_000;
        for (long from = 0; from <= end; from += WINDOW_MILLIS) {
            Samples window = answered.between(from, from + WINDOW_MILLIS);
            if (window.size() > 0) {
                x.add(from / 1_000.0);
                y.add(window.percentileMillis(percentile));
            }
        }
        return new Series(name, x, y);
    }

    /**
     * Draws the number of responses of a class per second over the time of their ends.
     *
     * @param name the name of the series
     * @param samples the samples
     * @param answerClass the class
     * @return the series, in seconds and responses per second
     */
    public static Series rateSeries(String name, Samples samples, AnswerClass answerClass) {
        TreeMap<Long, Integer> windows = new TreeMap<>();
        for (Sample sample : samples.of(answerClass).all()) {
            windows.merge(sample.endNanos() / 1_000_000 / WINDOW_MILLIS, 1, Integer::sum);
        }
        List<Double> x = new ArrayList<>();
        List<Double> y = new ArrayList<>();
        windows.forEach((window, count) -> {
            x.add(window * WINDOW_MILLIS / 1_000.0);
            y.add(count * 1_000.0 / WINDOW_MILLIS);
        });
        return new Series(name, x, y);
    }
}
