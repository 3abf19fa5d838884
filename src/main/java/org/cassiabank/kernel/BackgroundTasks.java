package org.cassiabank.kernel;

import com.google.common.flogger.FluentLogger;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;

/**
 * Keeps background tasks running after an unexpected exception or error, and counts these failures for the process.
 *
 * <p>An executor silently cancels a periodic task that throws, and a thread ends. Either leaves a daemon that answers
 * health checks but no longer follows the fleet.
 */
public final class BackgroundTasks {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int LOG_INTERVAL_SECONDS = 10;
    /** Leaves time for memory to become free if a loop ran out of it. */
    private static final long RESTART_DELAY_MILLIS = 250;

    private static final Map<String, LongAdder> FAILURES_BY_TASK = new ConcurrentHashMap<>();

    private BackgroundTasks() {}

    /**
     * Returns a task that records exceptions and errors instead of throwing them.
     *
     * @param name the name of the task in the log and the metrics
     * @param task the task
     * @return the task for an executor
     * @throws NullPointerException if an argument is null
     */
    public static Runnable guarded(String name, Runnable task) {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(task, "task");
        return () -> {
            try {
                task.run();
            } catch (Throwable failure) {
                recordFailure(name, failure);
            }
        };
    }

    /**
     * Starts a thread that runs a loop, and runs it again if it ends with an exception or an error.
     *
     * @param builder the kind of thread
     * @param name the name of the thread and of the loop in the log and the metrics
     * @param running tells whether a loop that has failed is to run again
     * @param loop returns when the loop is to stop
     * @return the started thread
     * @throws NullPointerException if an argument is null
     */
    public static Thread startLoop(Thread.Builder builder, String name, BooleanSupplier running, Runnable loop) {
        Objects.requireNonNull(running, "running");
        Objects.requireNonNull(loop, "loop");
        return builder.name(name).start(() -> {
            boolean ended = false;
            while (!ended && running.getAsBoolean()) {
                try {
                    loop.run();
                    ended = true;
                } catch (Throwable failure) {
                    recordFailure(name, failure);
                    ended = !pauseBeforeRestart();
                }
            }
        });
    }

    /**
     * Counts and logs the failure of a task that goes on, at most one line in 10 s over all tasks.
     *
     * @param name the name of the task
     * @param failure the exception or error
     */
    public static void recordFailure(String name, Throwable failure) {
        try {
            FAILURES_BY_TASK.computeIfAbsent(name, newName -> new LongAdder()).increment();
            LOGGER.atSevere().withCause(failure).atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
                    "task %s failed unexpectedly and runs again", name);
        } catch (OutOfMemoryError ignored) {
            // There is no memory to report with; the task itself goes on, which is what matters.
        }
    }

    /**
     * Returns the failures since the process started.
     *
     * @return the number of failures by the name of the task; tasks that never failed are missing
     */
    public static Map<String, Long> failuresByTask() {
        return FAILURES_BY_TASK.entrySet().stream()
                .collect(Collectors.toUnmodifiableMap(
                        Map.Entry::getKey, entry -> entry.getValue().sum()));
    }

    private static boolean pauseBeforeRestart() {
        try {
            TimeUnit.MILLISECONDS.sleep(RESTART_DELAY_MILLIS);
            return true;
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
