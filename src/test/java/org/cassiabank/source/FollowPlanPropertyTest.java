package org.cassiabank.source;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

/**
 * Guards against a daemon whose evidence of its state gets older than the bound, and against followers that call the
 * store although their watchers are in order. Plays the steps of a daemon in virtual time.
 */
class FollowPlanPropertyTest {
    private static final long DAY_MILLIS = 120_000;
    private static final long STORE_MILLIS = 4;

    private PropagationTimes times;
    private FollowPlan plan;
    private Random random;
    private long nowMillis;
    private long asOfMillis;
    private int storeCalls;
    /** When the watcher hears from the store next. */
    private long watcherConfirmationMillis;

    @Property(tries = 300)
    void theEvidenceStaysWithinTheBoundWhateverWatchersAndOpenConnectionsDo(
            @ForAll long seed, @ForAll boolean watcher, @ForAll @LongRange(min = 500, max = 11_000) long boundMillis) {
        begin(seed, boundMillis);
        while (nowMillis < DAY_MILLIS) {
            boolean relayed = take(plan.next(nowMillis - asOfMillis, watcher, true), this::unreliableWatchers);
            assertThat(nowMillis - asOfMillis).isLessThan(boundMillis);
            pauseAfterChanges(relayed);
        }
    }

    @Property(tries = 50)
    void aStoreThatEndsWatchesAtOnceIsNotCalledAllTheTime(
            @ForAll long seed, @ForAll @LongRange(min = 500, max = 11_000) long boundMillis) {
        begin(seed, boundMillis);
        while (nowMillis < DAY_MILLIS) {
            long startMillis = nowMillis;
            assertThat(plan.next(nowMillis - asOfMillis, true, true)).isInstanceOf(FollowStep.WatchStore.class);
            storeCalls++;
            nowMillis += STORE_MILLIS;
            asOfMillis = startMillis;
            nowMillis += plan.pauseAfterNoChanges(nowMillis - startMillis, nowMillis - asOfMillis);
        }
        assertThat((long) storeCalls).isLessThanOrEqualTo(DAY_MILLIS / times.shortestWaitMillis() + 1);
    }

    @Property(tries = 50)
    void aFollowerOfWatchersInOrderCallsNoStore(
            @ForAll long seed, @ForAll @LongRange(min = 500, max = 11_000) long boundMillis) {
        begin(seed, boundMillis);
        while (nowMillis < DAY_MILLIS) {
            boolean relayed = take(plan.next(nowMillis - asOfMillis, false, true), this::watchersInOrder);
            pauseAfterChanges(relayed);
        }
        assertThat(storeCalls).isZero();
    }

    private void begin(long seed, long boundMillis) {
        times = PropagationTimes.of(boundMillis);
        plan = FollowPlan.of(times);
        random = new Random(seed);
        nowMillis = 0;
        asOfMillis = 0;
        storeCalls = 0;
        watcherConfirmationMillis = 0;
    }

    /** Takes a step and returns whether a watcher replied. */
    private boolean take(FollowStep step, WatcherReplies watchers) {
        return switch (step) {
            case FollowStep.WatchStore watch -> {
                watchStore(watch.waitMillis());
                yield false;
            }
            case FollowStep.AskWatchers ask -> {
                boolean replied = watchers.reply(ask);
                if (!replied) {
                    take(plan.afterNoWatcherReplied(nowMillis - asOfMillis, true), watchers);
                }
                yield replied;
            }
            case FollowStep.Pause pause -> throw new AssertionError("the store is usable");
        };
    }

    private void watchStore(long waitMillis) {
        storeCalls++;
        if (random.nextInt(4) == 0) {
            // The connection is silent; the call is made again on a new one.
            nowMillis += waitMillis + times.replyMillis();
            watchStoreOnNewConnection(1);
        } else {
            watchStoreOnNewConnection(waitMillis);
        }
    }

    private void watchStoreOnNewConnection(long waitMillis) {
        long startMillis = nowMillis;
        boolean changed = random.nextBoolean();
        nowMillis += (changed ? random.nextLong(waitMillis + 1) : waitMillis) + random.nextLong(times.replyMillis());
        asOfMillis = Math.max(asOfMillis, changed ? startMillis : startMillis + waitMillis);
    }

    private boolean unreliableWatchers(FollowStep.AskWatchers ask) {
        nowMillis += random.nextInt(3) == 0 ? 0 : random.nextLong(ask.totalMillis() + 1);
        if (random.nextBoolean()) {
            asOfMillis = Math.max(asOfMillis, nowMillis - random.nextLong(2 * times.boundMillis()));
        }
        return random.nextInt(3) > 0;
    }

    private boolean watchersInOrder(FollowStep.AskWatchers ask) {
        long endMillis = nowMillis + ask.waitMillis();
        while (watcherConfirmationMillis <= nowMillis) {
            watcherConfirmationMillis += 1 + random.nextLong(times.watchMillis());
        }
        nowMillis = Math.min(endMillis, watcherConfirmationMillis);
        long confirmedMillis =
                nowMillis == watcherConfirmationMillis ? nowMillis : watcherConfirmationMillis - times.watchMillis();
        asOfMillis = Math.max(asOfMillis, confirmedMillis - STORE_MILLIS);
        return true;
    }

    private void pauseAfterChanges(boolean relayed) {
        if (random.nextBoolean()) {
            nowMillis += plan.pauseAfterChanges(relayed, random.nextLong(600), nowMillis - asOfMillis);
        } else {
            nowMillis += 1 + plan.pauseAfterNoChanges(random.nextLong(600), nowMillis - asOfMillis);
        }
    }

    private interface WatcherReplies {
        boolean reply(FollowStep.AskWatchers ask);
    }
}
