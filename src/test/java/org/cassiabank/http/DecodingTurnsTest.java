package org.cassiabank.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.io.InterruptedIOException;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(30)
class DecodingTurnsTest {
    private static final long LONG_WAIT_NANOS = TimeUnit.SECONDS.toNanos(20);

    private final DecodingTurns turns = DecodingTurns.startingAt(System.nanoTime() + LONG_WAIT_NANOS);

    @Test
    void turnsLeaveHalfOfTheTimeToOthersHoweverManyThreadsTakeThem() {
        DecodingTurns turnsSinceZero = DecodingTurns.startingAt(0);
        long endNanos = TimeUnit.SECONDS.toNanos(1);
        int takenTurns = 0;
        while (turnsSinceZero.reserveTurn(0, DecodingTurns.TURN_NANOS) < endNanos) {
            takenTurns++;
        }
        assertThat(takenTurns * DecodingTurns.TURN_NANOS).isLessThanOrEqualTo(endNanos / 2);
    }

    @Test
    void aLongerTurnPutsTheNextOneOffForLonger() {
        DecodingTurns turnsSinceZero = DecodingTurns.startingAt(0);
        long shortPauseNanos = turnsSinceZero.reserveTurn(0, DecodingTurns.TURN_NANOS);
        long longPauseNanos = turnsSinceZero.reserveTurn(0, 10 * DecodingTurns.TURN_NANOS) - shortPauseNanos;
        assertThat(longPauseNanos).isEqualTo(10 * shortPauseNanos);
    }

    @Test
    void aPauseOfTheProcessPutsTheNextTurnOffForAShortTimeOnly() {
        DecodingTurns turnsSinceZero = DecodingTurns.startingAt(0);
        assertThat(turnsSinceZero.reserveTurn(0, TimeUnit.SECONDS.toNanos(20)))
                .isLessThanOrEqualTo(TimeUnit.MILLISECONDS.toNanos(50));
    }

    @Test
    void aSingleLargeResponseIsDecodedWithoutPausesWhileNobodyElseTakesTurns() {
        DecodingTurns turnsSinceZero = DecodingTurns.startingAt(0);
        long nowNanos = TimeUnit.SECONDS.toNanos(1);
        for (int turn = 0; turn < 10; turn++) {
            nowNanos += DecodingTurns.TURN_NANOS;
            assertThat(turnsSinceZero.reserveTurn(nowNanos, DecodingTurns.TURN_NANOS))
                    .isLessThanOrEqualTo(nowNanos);
        }
    }

    @Test
    void aThreadWhoseConnectionWasClosedDoesNotAwaitItsTurn() {
        AtomicBoolean closed = new AtomicBoolean();
        Thread.startVirtualThread(() -> closed.set(true));
        assertThatThrownBy(() -> turns.awaitTurn(DecodingTurns.TURN_NANOS, () -> {
                    if (closed.get()) {
                        throw new SocketException("Socket closed");
                    }
                }))
                .isInstanceOf(SocketException.class);
    }

    @Test
    void anInterruptedThreadStopsWaitingAndStaysInterrupted() throws InterruptedException {
        AtomicReference<Exception> failure = new AtomicReference<>();
        AtomicBoolean interrupted = new AtomicBoolean();
        Thread thread = Thread.startVirtualThread(() -> {
            try {
                turns.awaitTurn(DecodingTurns.TURN_NANOS, () -> {});
            } catch (IOException exception) {
                failure.set(exception);
                interrupted.set(Thread.currentThread().isInterrupted());
            }
        });
        thread.interrupt();
        thread.join();
        assertThat(failure.get()).isInstanceOf(InterruptedIOException.class);
        assertThat(interrupted).isTrue();
    }

    @Test
    void turnsOfThreadsWhoseConnectionsWereClosedPutNobodyOff() throws InterruptedException {
        DecodingTurns turnsSinceNow = DecodingTurns.create();
        List<Thread> threads = new ArrayList<>();
        for (int number = 0; number < 1_000; number++) {
            threads.add(Thread.startVirtualThread(
                    () -> assertThatThrownBy(() -> turnsSinceNow.awaitTurn(DecodingTurns.TURN_NANOS, () -> {
                                throw new SocketException("Socket closed");
                            }))
                            .isInstanceOf(SocketException.class)));
        }
        for (Thread thread : threads) {
            thread.join();
        }
        long nowNanos = System.nanoTime();
        assertThat(turnsSinceNow.reserveTurn(nowNanos, DecodingTurns.TURN_NANOS) - nowNanos)
                .isLessThan(TimeUnit.MILLISECONDS.toNanos(100));
    }
}
