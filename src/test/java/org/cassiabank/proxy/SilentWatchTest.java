package org.cassiabank.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against an old configuration beyond the platform's bound because a watch at the store gets no response, while
 * the other calls of the daemon are answered.
 */
@Timeout(120)
class SilentWatchTest {

    @ParameterizedTest
    @ValueSource(longs = {2_000, 3_000})
    void aWatcherPutsAChangeIntoForceWithinTheBoundAlthoughItsWatchIsSilent(long boundMillis) throws Exception {
        try (FollowedStore followed = FollowedStore.start(boundMillis)) {
            followed.changeConfigurationAndAwait();
            silenceBothWatches(followed);
            assertThat(followed.millisUntilChangeIsInForce(followed.watchers.getFirst().fleet))
                    .isLessThan(boundMillis);
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {2_000, 3_000})
    void aFollowerPutsAChangeIntoForceWithinTheBoundAlthoughTheWatchesOfItsWatchersAreSilent(long boundMillis)
            throws Exception {
        try (FollowedStore followed = FollowedStore.start(boundMillis)) {
            followed.changeConfigurationAndAwait();
            silenceBothWatches(followed);
            assertThat(followed.millisUntilChangeIsInForce(followed.follower)).isLessThan(boundMillis);
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {2_000, 3_000})
    void aFollowerWithoutWatchersPutsAChangeIntoForceWithinTheBoundAlthoughItsOwnWatchIsSilent(long boundMillis)
            throws Exception {
        try (FollowedStore followed = FollowedStore.start(boundMillis)) {
            followed.changeConfigurationAndAwait();
            followed.watchers.forEach(watcher -> watcher.frozen = true);
            // Frozen watchers lose their replies only, so the third watch is the follower's.
            FollowedStore.await(() -> followed.standIn.silenceWaitingWatches(3));
            assertThat(followed.millisUntilChangeIsInForce(followed.follower)).isLessThan(boundMillis);
        }
    }

    private static void silenceBothWatches(FollowedStore followed) {
        FollowedStore.await(() -> followed.standIn.silenceWaitingWatches(2));
    }
}
