package org.cassiabank.load;

/**
 * An experiment that starts a test fleet, sends load to it and compares measured values with targets.
 */
public interface Experiment {

    /**
     * Returns the name that selects the experiment on the command line and identifies it in reports.
     *
     * @return the name
     */
    String name();

    /**
     * Returns a description of what is measured, for the help text.
     *
     * @return one line
     */
    String summary();

    /**
     * Runs the experiment and terminates its fleet.
     *
     * @param settings the settings
     * @return the measures, series and notes
     * @throws InterruptedException if the thread is interrupted
     */
    ExperimentResult run(ExperimentSettings settings) throws InterruptedException;
}
