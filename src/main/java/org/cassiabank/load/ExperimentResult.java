package org.cassiabank.load;

import java.util.List;

/**
 * The figures of an experiment.
 *
 * @param scale the size of the fleet and the rates, for comparison with the sizes of the design page
 * @param measures the figures
 * @param series lines of the chart; may be empty
 * @param notes what else was observed
 */
public record ExperimentResult(String scale, List<Measure> measures, List<Series> series, List<String> notes) {

    /**
     * Copies the lists.
     */
    public ExperimentResult {
        measures = List.copyOf(measures);
        series = List.copyOf(series);
        notes = List.copyOf(notes);
    }

    /**
     * Tells whether all targets are met.
     *
     * @return true if no measure misses its target
     */
    public boolean passes() {
        return measures.stream().allMatch(Measure::passes);
    }
}
