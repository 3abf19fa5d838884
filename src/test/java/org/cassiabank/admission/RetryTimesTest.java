package org.cassiabank.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.cassiabank.health.RequestDigest;
import org.junit.jupiter.api.Test;

class RetryTimesTest {
    /** Guards against callers that are refused together and return together. */
    @Test
    void timesOfRequestsRefusedTogetherAreSpreadEvenly() {
        int[] counts = new int[3];
        IntStream.range(0, 300)
                .mapToObj(i -> RequestDigest.of("customer", "", "GET", "/" + i, new byte[0]))
                .mapToLong(digest -> RetryTimes.retryAfterMillis(300, 6_000, digest, 1))
                .forEach(millis -> counts[(int) (millis - 300) / 100]++);
        assertThat(IntStream.of(counts).boxed())
                .allSatisfy(count -> assertThat(count).isBetween(70, 130));
    }

    /** Guards against equal requests, for example of a polling customer, that return together. */
    @Test
    void timesOfEqualRequestsAreSpread() {
        assertThat(LongStream.range(0, 30)
                        .map(number -> RetryTimes.retryAfterMillis(300, 6_000, RequestDigest.none(), number))
                        .distinct()
                        .count())
                .isGreaterThan(20);
    }

    /** Guards against times that callers ignore, and against times without a spread where the limit applies. */
    @Test
    void timesAreAtMostAThirdOfTheRemainingTime() {
        assertThat(LongStream.range(0, 30)
                        .map(number -> RetryTimes.retryAfterMillis(5_000, 1_800, RequestDigest.none(), number)))
                .allSatisfy(millis -> assertThat(millis).isBetween(400L, 600L))
                .doesNotHaveDuplicates();
        assertThat(RetryTimes.retryAfterMillis(300, 0, RequestDigest.none(), 1)).isOne();
    }
}
