package org.cassiabank.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import org.cassiabank.kernel.Kernel;
import org.cassiabank.load.FreePorts;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against a warm start that exercises no complete request, or that keeps a daemon from becoming ready. */
@Timeout(30)
class WarmStartTest {

    @Test
    void requestsOfTheExerciseReachItsServer() throws Exception {
        try (RequestPathExercise path = RequestPathExercise.open(settings())) {
            for (int request = 0; request < 20; request++) {
                assertThat(path.send()).isTrue();
            }
        }
    }

    @Test
    void theWarmStartIsDoneWithinTwoSeconds() throws Exception {
        WarmStart warmStart = WarmStart.create(settings(), true);
        assertThat(warmStart.isDone()).isFalse();
        long startMillis = MonotonicClock.millis();
        warmStart.start(Kernel.create());
        while (!warmStart.isDone()) {
            Thread.sleep(10);
        }
        assertThat(MonotonicClock.millis() - startMillis).isLessThan(2_100);
    }

    static ProxySettings settings() {
        return ProxySettingsParser.parse("test", """
                name = "entry"
                region = "region"
                failure-domain = "domain"
                callers-address = "%s"
                peer-address = "%s"
                admin-address = "%s"
                store = "http://127.0.0.1:1"
                """.formatted(
                FreePorts.nextLoopbackAddress(), FreePorts.nextLoopbackAddress(), FreePorts.nextLoopbackAddress()));
    }
}
