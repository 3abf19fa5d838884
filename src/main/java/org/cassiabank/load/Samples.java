package org.cassiabank.load;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.HdrHistogram.Histogram;

/**
 * The results of a run, with selections and summaries. Immutable.
 *
 * @param all the samples
 */
public record Samples(List<Sample> all) {

    /**
     * Copies the samples.
     */
    public Samples {
        all = List.copyOf(all);
    }

    /**
     * Selects samples.
     *
     * @param condition the condition
     * @return the samples that meet it
     */
    public Samples where(Predicate<Sample> condition) {
        return new Samples(all.stream().filter(condition).toList());
    }

    /**
     * Selects the samples of one class.
     *
     * @param outcome the class
     * @return its samples
     */
    public Samples withOutcome(ObservedOutcome outcome) {
        return where(sample -> sample.outcome() == outcome);
    }

    /**
     * Selects the samples of one kind of request.
     *
     * @param kind the name of the kind
     * @return its samples
     */
    public Samples ofKind(String kind) {
        return where(sample -> sample.arrival().kind().name().equals(kind));
    }

    /**
     * Selects the samples whose intended send time is in an interval.
     *
     * @param fromMillis the start in milliseconds, inclusive
     * @param toMillis the end in milliseconds, exclusive
     * @return the samples
     */
    public Samples sentBetween(long fromMillis, long toMillis) {
        return where(sample -> sample.arrival().offsetNanos() >= fromMillis * 1_000_000
                && sample.arrival().offsetNanos() < toMillis * 1_000_000);
    }

    /**
     * Returns the number of samples.
     *
     * @return the number
     */
    public int size() {
        return all.size();
    }

    /**
     * Counts the samples per class.
     *
     * @return the numbers, without classes that do not occur
     */
    public Map<ObservedOutcome, Long> countByOutcome() {
        return all.stream()
                .collect(Collectors.groupingBy(
                        Sample::outcome, () -> new EnumMap<>(ObservedOutcome.class), Collectors.counting()));
    }

    /**
     * Counts the samples that no caller may get.
     *
     * @return the number
     */
    public long countForbidden() {
        return all.stream().filter(sample -> sample.outcome().isForbidden()).count();
    }

    /**
     * Returns the latencies from the intended send time.
     *
     * @return a histogram in microseconds
     */
    public Histogram latencyHistogramMicros() {
        Histogram histogram = new Histogram(3);
        all.forEach(sample -> histogram.recordValue(Math.max(0, sample.latencyNanos() / 1_000)));
        return histogram;
    }

    /**
     * Returns a percentile of the latency from the intended send time.
     *
     * @param percentile the percentile, from 0 to 100
     * @return the latency in milliseconds; not a number without samples
     */
    public double percentileMillis(double percentile) {
        return all.isEmpty() ? Double.NaN : latencyHistogramMicros().getValueAtPercentile(percentile) / 1_000.0;
    }

    /**
     * Returns the 99th percentile of the delay with which the tool itself sent requests. A high value means that the
     * machine was too busy for latencies to be trusted.
     *
     * @return the delay in milliseconds; not a number without samples
     */
    public double sendDelayP99Millis() {
        long[] sortedDelaysNanos =
                all.stream().mapToLong(Sample::sendDelayNanos).sorted().toArray();
        return sortedDelaysNanos.length == 0
                ? Double.NaN
                : sortedDelaysNanos[(int) (sortedDelaysNanos.length * 0.99)] / 1e6;
    }
}
