package org.cassiabank.admission;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Guards against proxies without an owner that each use the whole limit of a server.
 */
class RateLimitShareTest {

    @Test
    void oneProxyAfterTheOtherHasItsTurn() {
        for (long nowMillis = 0; nowMillis < 60_000; nowMillis += 10) {
            long now = nowMillis;
            assertThat(IntStream.range(0, 32)
                            .filter(position -> RateLimitShare.isTurn(1.6, position, 32, now))
                            .count())
                    .isEqualTo(1);
        }
    }

    @Test
    void aTurnLastsAsLongAsTheServerNeedsForOneRequest() {
        long turnMillis = IntStream.range(0, 20_000)
                .filter(millis -> RateLimitShare.isTurn(1.6, 5, 32, millis))
                .count();
        assertThat(turnMillis).isBetween(624L, 626L);
    }

    @Test
    void aProxyThatIsNotCountedIsAnError() {
        assertThatThrownBy(() -> RateLimitShare.isTurn(1, 3, 3, 0)).isInstanceOf(IllegalArgumentException.class);
    }
}
