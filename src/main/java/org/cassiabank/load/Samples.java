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
     * @param answerClass the class
     * @return its samples
     */
    public Samples of(AnswerClass answerClass) {
        return where(sample -> sample.answerClass() == answerClass);
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
    public Samples between(long fromMillis, long toMillis) {
        return where(sample -> sample.arrival().atNanos() >= fromMillis * 1_000_000
                && sample.arrival().atNanos() < toMillis * 1_000_000);
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
    public Map<AnswerClass, Long> counts() {
        return all.stream()
                .collect(Collectors.groupingBy(
                        Sample::answerClass, () -> new EnumMap<>(AnswerClass.class), Collectors.counting()));
    }

    /**
     * Counts the samples that no caller may get.
     *
     * @return the number
     */
    public long forbidden() {
        return all.stream().filter(sample -> sample.answerClass().isForbidden()).count();
    }

    /**
     * Returns the latencies from the intended send time.
     *
     * @return a histogram in microseconds
     */
    public Histogram latencies() {
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
        return all.isEmpty() ? Double.NaN : latencies().getValueAtPercentile(percentile) / 1_000.0;
    }

    /**
     * Returns the 99th percentile of the delay with which the tool itself sent requests. A high value means that the
     * machine was too busy for latencies to be trusted.
     *
     * @return the delay in milliseconds; not a number without samples
     */
    public double sendDelayMillis() {
        long[] delays = all.stream().mapToLong(Sample::sendDelayNanos).sorted().toArray();
        return delays.length == 0 ? Double.NaN : delays[(int) (delays.length * 0.99)] / 1e6;
    }
}
