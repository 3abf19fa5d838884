package org.cassiabank.backend;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.cassiabank.admission.RateLimitNotice;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against limits of requests a second that stop a server or lift its limit because they are no decimal number.
 */
class RateLimitHeaderTest {

    @Test
    void aDecimalNumberIsALimit() {
        assertThat(RateLimitHeader.parse(List.of("1.6"))).contains(new RateLimitNotice.Limited(1.6));
        assertThat(RateLimitHeader.parse(List.of("0"))).contains(new RateLimitNotice.Limited(0));
        assertThat(RateLimitHeader.parse(List.of("120"))).contains(new RateLimitNotice.Limited(120));
    }

    @Test
    void aResponseWithoutTheHeaderHasNoLimit() {
        assertThat(RateLimitHeader.parse(List.of())).contains(new RateLimitNotice.Unlimited());
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "-1", "+1", "NaN", "Infinity", "1e400", "1e3", "0x10", "2f", "1.", ".5", "1,6", "1 6"})
    void otherValuesAreInvalid(String value) {
        assertThat(RateLimitHeader.parse(List.of(value))).isEmpty();
    }

    @Test
    void twoHeadersAreInvalid() {
        assertThat(RateLimitHeader.parse(List.of("2", "2"))).isEmpty();
    }
}
