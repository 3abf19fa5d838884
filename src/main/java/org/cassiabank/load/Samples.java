package org.cassiabank.load;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.HdrHistogram.Histogram;

/**
 * The samples of a run, with filters and summaries. Immutable.
 *
 * @param all the samples
 */
public record Samples(List<Sample> all) {

    /**
     * Copies the samples.
     *
     * @throws NullPointerException if the list or a sample is null
     */
    public Samples {
        all = List.copyOf(all);
    }

    /**
     * Returns the samples that meet a condition.
     *
     * @param condition the condition
     * @return the samples in their order
     */
    public Samples where(Predicate<Sample> condition) {
        return new Samples(all.stream().filter(condition).toList());
    }

    /**
     * Returns the samples with an outcome.
     *
     * @param outcome the outcome
     * @return the samples in their order
     */
    public Samples withOutcome(ObservedOutcome outcome) {
        return where(sample -> sample.outcome() == outcome);
    }

    /**
     * Returns the samples of a kind of request.
     *
     * @param kind the name of the kind
     * @return the samples in their order
     */
    public Samples ofKind(String kind) {
        return where(sample -> sample.arrival().kind().name().equals(kind));
    }

    /**
     * Returns the samples whose request arrived in an interval of the schedule. A repeat counts at the arrival of its
     * request.
     *
     * @param fromMillis the time since the start of the schedule, in milliseconds, inclusive
     * @param toMillis the time since the start of the schedule, in milliseconds, exclusive
     * @return the samples in their order
     */
    public Samples arrivedBetween(long fromMillis, long toMillis) {
        return where(sample -> sample.arrival().offsetNanos() >= fromMillis * 1_000_000
                && sample.arrival().offsetNanos() < toMillis * 1_000_000);
    }

    /**
     * Returns the number of samples, repeats included.
     *
     * @return the number
     */
    public int size() {
        return all.size();
    }

    /**
     * Counts the samples per outcome.
     *
     * @return the counts, without outcomes that do not occur
     */
    public Map<ObservedOutcome, Long> countByOutcome() {
        return all.stream()
                .collect(Collectors.groupingBy(
                        Sample::outcome, () -> new EnumMap<>(ObservedOutcome.class), Collectors.counting()));
    }

    /**
     * Counts the samples with an outcome that no caller may ever observe.
     *
     * @return the number
     */
    public long countForbidden() {
        return all.stream().filter(sample -> sample.outcome().isForbidden()).count();
    }

    /**
     * Returns the distribution of the latencies, measured from the intended send times.
     *
     * @return a histogram of microseconds with three significant digits
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
     * @return the latency in milliseconds; NaN without samples
     */
    public double percentileMillis(double percentile) {
        return all.isEmpty() ? Double.NaN : latencyHistogramMicros().getValueAtPercentile(percentile) / 1_000.0;
    }

    /**
     * Returns the 99th percentile of the delays with which the tool sent requests after their intended times. With a
     * high value the machine was overloaded and the latencies are not reliable.
     *
     * @return the delay in milliseconds; NaN without samples
     */
    public double sendDelayP99Millis() {
        long[] sortedDelaysNanos =
                all.stream().mapToLong(Sample::sendDelayNanos).sorted().toArray();
        return sortedDelaysNanos.length == 0
                ? Double.NaN
                : sortedDelaysNanos[(int) (sortedDelaysNanos.length * 0.99)] / 1e6;
    }
}
