package org.cassiabank.kernel;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against daemons that answer health checks although a background thread or a periodic task has ended after an
 * unexpected exception or error.
 */
@Timeout(10)
class BackgroundTasksTest {

    @Test
    void aLoopThatRunsOutOfMemoryRunsAgainAndIsCounted() throws Exception {
        AtomicInteger starts = new AtomicInteger();
        CountDownLatch thirdStart = new CountDownLatch(3);
        Thread thread = BackgroundTasks.startLoop(Thread.ofVirtual(), "failing-loop", () -> true, () -> {
            thirdStart.countDown();
            if (starts.incrementAndGet() < 3) {
                throw new OutOfMemoryError("simulated");
            }
        });
        assertThat(thirdStart.await(5, TimeUnit.SECONDS)).isTrue();
        thread.join();
        assertThat(starts).hasValue(3);
        assertThat(BackgroundTasks.failuresByTask()).containsEntry("failing-loop", 2L);
    }

    @Test
    void aLoopThatFailsWhileItIsToStopDoesNotRunAgain() throws Exception {
        AtomicInteger starts = new AtomicInteger();
        Thread thread = BackgroundTasks.startLoop(Thread.ofVirtual(), "stopped-loop", () -> starts.get() == 0, () -> {
            starts.incrementAndGet();
            throw new IllegalStateException("simulated");
        });
        thread.join();
        assertThat(starts).hasValue(1);
    }

    @Test
    void aPeriodicTaskRunsAgainAfterAnError() throws Exception {
        CountDownLatch runs = new CountDownLatch(3);
        try (ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor()) {
            executor.scheduleAtFixedRate(
                    BackgroundTasks.guarded("failing-task", () -> {
                        runs.countDown();
                        throw new StackOverflowError("simulated");
                    }),
                    0,
                    1,
                    TimeUnit.MILLISECONDS);
            assertThat(runs.await(5, TimeUnit.SECONDS)).isTrue();
            executor.shutdownNow();
        }
    }
}
