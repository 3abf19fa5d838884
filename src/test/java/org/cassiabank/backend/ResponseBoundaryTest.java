package org.cassiabank.backend;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against bodies whose examination takes the processor from all other requests, or memory for many copies. */
@Timeout(60)
class ResponseBoundaryTest {
    private static final String REQUEST_ID_HEADER = "Request-Id";
    private static final int BODY_BYTES = 8 * 1_024 * 1_024;

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\n",
                "HTTP/1.1 200 ",
                "HTTP/1.1 200 OK\r\nX: y\r\n\r\n",
                "HTTP/1.",
                "H",
                "\r\n",
                "HTTP/1.1 200 OK\r\n\r\n"
            })
    void aLargeBodyOfStatusLinesIsExaminedInTimeProportionalToItsLength(String repeated) {
        byte[] body = bytes(repeated.repeat(BODY_BYTES / repeated.length()));
        assertThat(Duration.ofNanos(
                        timeNanos(() -> assertThat(ResponseBoundary.findDefect(body, new byte[0], REQUEST_ID_HEADER))
                                .isEmpty())))
                .isLessThan(Duration.ofSeconds(5));
    }

    @Test
    void theFirstStatusLineOfAHeadWithTheHeaderIsReported() {
        String first = "HTTP/1.1 200 OK\r\nX: y\r\n\r\n";
        byte[] body = bytes("ab" + first + "HTTP/1.1 404 Not\r\nHTTP/1.1 500 Failed\r\nrequest-id: 7\r\n\r\nrest");
        assertThat(ResponseBoundary.findDefect(body, new byte[0], REQUEST_ID_HEADER))
                .contains("another response begins after " + (2 + first.length()) + " of " + body.length
                        + " bytes of the body");
    }

    @Test
    void aHeadThatContinuesBehindTheBodyIsFound() {
        assertThat(ResponseBoundary.findDefect(bytes("abHTTP/1.1 200"), bytes(" OK\r\n"), REQUEST_ID_HEADER))
                .isPresent();
        assertThat(ResponseBoundary.findDefect(bytes("abHTTP/1.1 2"), bytes("00 OK\r\n"), REQUEST_ID_HEADER))
                .isPresent();
        assertThat(ResponseBoundary.findDefect(bytes("ab"), bytes("HTTP/1.1 200 OK\r\n"), REQUEST_ID_HEADER))
                .isEmpty();
    }

    private static long timeNanos(Runnable action) {
        long startNanos = System.nanoTime();
        action.run();
        return System.nanoTime() - startNanos;
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
