package org.cassiabank.load;

import java.util.List;

/**
 * The result of an experiment.
 *
 * @param scale the size of the fleet and its load, for comparison with the scale of the design page
 * @param measures the measured values with their targets
 * @param series the series of the chart; may be empty
 * @param notes further observations, a line each
 */
public record ExperimentResult(String scale, List<Measure> measures, List<Series> series, List<String> notes) {

    /**
     * Copies the lists.
     *
     * @throws NullPointerException if a list or one of its elements is null
     */
    public ExperimentResult {
        measures = List.copyOf(measures);
        series = List.copyOf(series);
        notes = List.copyOf(notes);
    }

    /**
     * Returns whether all targets are met.
     *
     * @return true if no measure misses its target
     */
    public boolean passes() {
        return measures.stream().allMatch(Measure::passes);
    }
}
