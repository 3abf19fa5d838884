package org.cassiabank.health;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests of different callers, or with other contents, that count as the same request.
 */
class RequestDigestTest {
    private static final byte[] BODY = "order".getBytes(StandardCharsets.UTF_8);

    @Test
    void theSameRequestHasTheSameDigestAnywhere() {
        assertThat(digest("caller", "/orders", BODY)).isEqualTo(digest("caller", "/orders", BODY.clone()));
        assertThat(digest("caller", "/orders", BODY).isKnown()).isTrue();
    }

    @Test
    void anotherCallerTargetOrBodyMakesAnotherRequest() {
        RequestDigest digest = digest("caller", "/orders", BODY);
        assertThat(digest("other", "/orders", BODY)).isNotEqualTo(digest);
        assertThat(digest("caller", "/orders?x", BODY)).isNotEqualTo(digest);
        assertThat(digest("caller", "/orders", new byte[0])).isNotEqualTo(digest);
    }

    /** Guards against a verdict on a request that holds for the sound servers of another service. */
    @Test
    void theSamePathOfAnotherHostIsAnotherRequest() {
        assertThat(RequestDigest.of("caller", "menu.example", "GET", "/today", BODY))
                .isNotEqualTo(RequestDigest.of("caller", "order.example", "GET", "/today", BODY))
                .isNotEqualTo(RequestDigest.of("caller", "", "GET", "/today", BODY));
    }

    @Test
    void textThatMovesBetweenPartsMakesAnotherRequest() {
        assertThat(RequestDigest.of("a", "", "GET", "/bc", BODY))
                .isNotEqualTo(RequestDigest.of("a", "", "GET/", "bc", BODY))
                .isNotEqualTo(RequestDigest.of("aG", "", "ET", "/bc", BODY))
                .isNotEqualTo(RequestDigest.of("", "a", "GET", "/bc", BODY));
    }

    @Test
    void aDigestOfAnotherLengthIsAnError() {
        assertThat(RequestDigest.none().isKnown()).isFalse();
        assertThatThrownBy(() -> new RequestDigest("ab")).isInstanceOf(IllegalArgumentException.class);
    }

    private static RequestDigest digest(String caller, String target, byte[] body) {
        return RequestDigest.of(caller, "", "POST", target, body);
    }
}
