package org.cassiabank.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a daemon that holds an old configuration beyond the platform's bound because the watchers that it
 * follows are frozen, one or both of them, at any moment of its calls to them.
 */
@Timeout(120)
class FrozenWatchersTest {

    @ParameterizedTest
    @CsvSource({"2000, 1", "2000, 2", "3000, 2"})
    void aChangeIsInForceWithinTheBoundWhileWatchersAreFrozen(long boundMillis, int frozenWatchers) throws Exception {
        try (FollowedStore followed = FollowedStore.start(boundMillis)) {
            for (long phaseMillis = 0; phaseMillis < boundMillis; phaseMillis += boundMillis / 4) {
                // The follower's calls begin anew with a change, and the freeze comes at another moment of them.
                int firstVersion = followed.changeConfiguration();
                FollowedStore.await(() -> followed.follower.revision() == firstVersion);
                TimeUnit.MILLISECONDS.sleep(phaseMillis);
                followed.watchersByUse().stream().limit(frozenWatchers).forEach(watcher -> watcher.frozen = true);
                assertThat(followed.millisUntilChangeIsInForce(followed.follower))
                        .as("time until a change is in force, freeze %d ms after another one", phaseMillis)
                        .isLessThan(boundMillis);
                followed.watchers.forEach(watcher -> watcher.frozen = false);
                followed.awaitWatchersInUse();
            }
        }
    }
}
