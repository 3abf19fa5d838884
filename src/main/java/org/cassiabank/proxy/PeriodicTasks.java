package org.cassiabank.proxy;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.TimeUnit;

/**
 * Wraps the tasks of executors so that exceptions are logged: an executor silently cancels a periodic task that throws.
 */
final class PeriodicTasks {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int LOG_INTERVAL_SECONDS = 10;

    private PeriodicTasks() {}

    /** Returns a task that logs runtime exceptions, at most one in 10 s over all tasks, instead of throwing them. */
    static Runnable guarded(String name, Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException exception) {
                LOGGER.atWarning().withCause(exception).atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
                        "task %s failed; if it is periodic, it runs again after its interval", name);
            }
        };
    }
}
