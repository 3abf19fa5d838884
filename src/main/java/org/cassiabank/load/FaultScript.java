package org.cassiabank.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * A sequence of steps at fixed times of a run: requests to control ports, signals to processes that this tool started,
 * or code of an experiment.
 *
 * @param steps the steps in the order of their times
 */
public record FaultScript(List<Step> steps) {

    /**
     * Copies the steps and sorts them by time.
     */
    public FaultScript {
        steps = steps.stream()
                .sorted(Comparator.comparingLong(Step::offsetMillis))
                .toList();
    }

    /**
     * Returns a script without steps.
     *
     * @return the empty script
     */
    public static FaultScript empty() {
        return new FaultScript(List.of());
    }

    /**
     * Runs the steps at their times, one after the other. A POST request without a 2xx response is recorded as a
     * failure, and the script continues.
     *
     * @param startNanos the start of the script, by {@link System#nanoTime()}
     * @return one message for each failure
     * @throws InterruptedException if the thread is interrupted
     */
    public List<String> run(long startNanos) throws InterruptedException {
        AdminClient client = AdminClient.create(2_000);
        List<String> failures = new ArrayList<>();
        for (Step step : steps) {
            long remainingNanos = startNanos + step.offsetMillis() * 1_000_000 - System.nanoTime();
            if (remainingNanos > 0) {
                Thread.sleep(remainingNanos / 1_000_000, (int) (remainingNanos % 1_000_000));
            }
            switch (step.action()) {
                case PostRequest post -> {
                    AdminClient.AdminResponse response = client.send("POST", post.url(), post.body());
                    if (response.status() / 100 != 2) {
                        failures.add("POST " + post.url() + ": " + response.status() + " " + response.body());
                    }
                }
                case SendSignal signal -> signal.process().sendSignal(signal.signalName());
                case RunCode call -> call.code().run();
            }
        }
        return failures;
    }

    /**
     * An action at a time of a run.
     *
     * @param offsetMillis the time since the start of the run, in milliseconds
     * @param action the action
     */
    public record Step(long offsetMillis, Action action) {}

    /** The action of a step. */
    public sealed interface Action permits PostRequest, SendSignal, RunCode {}

    /**
     * Sends a POST request.
     *
     * @param url the URL
     * @param body the JSON body
     */
    public record PostRequest(String url, String body) implements Action {}

    /**
     * Sends a signal to a process that this tool started.
     *
     * @param process the process
     * @param signalName the name of the signal without SIG
     */
    public record SendSignal(ChildProcess process, String signalName) implements Action {}

    /**
     * Runs code of an experiment on the thread of the script; later steps wait for its end.
     *
     * @param code the code
     */
    public record RunCode(Runnable code) implements Action {}
}
