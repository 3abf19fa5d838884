package org.cassiabank.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Guards against repetitions of a request that are not recognized because they come from another address or are sent to
 * another proxy.
 */
class CallerRequestTest {

    @Test
    void aRepetitionThroughAnotherProxyHasTheSameDigest() {
        assertThat(request("/menu?page=1", "first", "10.0.0.1").digest("*", ""))
                .isEqualTo(request("/menu?page=1", "second", "10.0.0.2").digest("*", ""));
    }

    @Test
    void anotherTargetOrCustomerHasAnotherDigest() {
        assertThat(request("/menu", "first", "10.0.0.1").digest("customer", ""))
                .isNotEqualTo(request("/menu?page=1", "first", "10.0.0.1").digest("customer", ""))
                .isNotEqualTo(request("/menu", "first", "10.0.0.1").digest("other", ""));
    }

    @Test
    void theSamePathOfTwoHostsThatAreRoutedDifferentlyHasTwoDigests() {
        assertThat(request("/today", "menu.example", "10.0.0.1").digest("*", "menu.example"))
                .isNotEqualTo(request("/today", "order.example", "10.0.0.1").digest("*", "order.example"));
    }

    private static CallerRequest request(String target, String host, String address) {
        return new CallerRequest("GET", target, Map.of("host", List.of(host)), new byte[0], address);
    }
}
