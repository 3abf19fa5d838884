package org.cassiabank.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.DefaultEventLoop;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against requests that are held past their deadline for as long as the process is short of processor time. */
class PendingReplyTest {
    /** All timers fire late, because they become due while the loop is busy. */
    private static final long BUSY_MILLIS = 600;

    /** Soon after a request without a reply would be given up. */
    private static final long JUST_OVERDUE_MILLIS = 440;

    private final DefaultEventLoop eventLoop = new DefaultEventLoop();
    private final AtomicBoolean stopped = new AtomicBoolean();

    @AfterEach
    void stop() {
        stopped.set(true);
        eventLoop.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    @Test
    void aRequestIsGivenUpAlthoughAllTimersFireLate() throws Exception {
        CountDownLatch overdue = new CountDownLatch(1);
        eventLoop.execute(() -> {
            PendingReply.create(eventLoop, reply -> {}, () -> {}, overdue::countDown)
                    .expectWithin(0);
            keepBusy();
        });
        assertThat(overdue.await(6 * BUSY_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
    }

    @Test
    void aResponseThatArrivedDuringAPauseIsStillReplied() throws Exception {
        // The reply comes after the timer, which is due already.
        assertReplied(BUSY_MILLIS, 1);
    }

    @Test
    void aResponseThatArrivedDuringAPauseIsStillRepliedIfThePauseEndsSoonAfterTheTimeLimit() throws Exception {
        assertReplied(JUST_OVERDUE_MILLIS, 20);
    }

    @Test
    void aHandlerThatIsSlowAfterAPauseStillReplies() throws Exception {
        assertReplied(BUSY_MILLIS, 200);
    }

    private void assertReplied(long pauseMillis, long handlerMillis) throws InterruptedException {
        CountDownLatch overdue = new CountDownLatch(1);
        CountDownLatch replied = new CountDownLatch(1);
        eventLoop
                .submit(() -> {
                    PendingReply pendingReply =
                            PendingReply.create(eventLoop, reply -> replied.countDown(), () -> {}, overdue::countDown);
                    pendingReply.expectWithin(0);
                    spin(pauseMillis);
                    eventLoop.schedule(
                            () -> pendingReply.complete(CallerReply.unknown("late")),
                            handlerMillis,
                            TimeUnit.MILLISECONDS);
                })
                .sync();
        assertThat(replied.await(2, TimeUnit.SECONDS)).isTrue();
        assertThat(overdue.getCount()).isEqualTo(1);
    }

    private void keepBusy() {
        spin(BUSY_MILLIS);
        if (!stopped.get()) {
            eventLoop.execute(this::keepBusy);
        }
    }

    private static void spin(long millis) {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (System.nanoTime() < endNanos) {
            Thread.onSpinWait();
        }
    }
}
