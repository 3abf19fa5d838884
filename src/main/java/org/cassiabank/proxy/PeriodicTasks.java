package org.cassiabank.proxy;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.TimeUnit;

/**
 * Guards tasks that an executor repeats: an executor silently drops a task that throws.
 */
final class PeriodicTasks {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int LOG_INTERVAL_SECONDS = 10;

    private PeriodicTasks() {}

    static Runnable guarded(String name, Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException exception) {
                LOGGER.atWarning().withCause(exception).atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).log(
                        "repeated task %s failed and goes on", name);
            }
        };
    }
}
