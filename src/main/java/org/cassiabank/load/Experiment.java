package org.cassiabank.load;

/**
 * An experiment with a fleet of its own.
 */
public interface Experiment {

    /**
     * Returns the name on the command line.
     *
     * @return the name
     */
    String name();

    /**
     * Describes what is measured.
     *
     * @return one line
     */
    String summary();

    /**
     * Runs the experiment.
     *
     * @param settings the settings
     * @return the figures
     * @throws InterruptedException if the thread is interrupted
     */
    ExperimentResult run(ExperimentSettings settings) throws InterruptedException;
}
