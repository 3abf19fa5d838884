package org.cassiabank.backend;

import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against bodies whose examination outlasts the deadline of their request. */
class ResponseBoundaryTest {
    private static final int BODY_BYTES = 4 << 20;
    /** A caller has its answer at the latest half a second after the timeout of the route. */
    private static final Duration LONGEST_EXAMINATION = Duration.ofMillis(500);

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\n",
                "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n",
                "H",
                "HTTP/1.",
                "HTTP/1.1 200 "
            })
    void aBodyFullOfStatusLinesIsExaminedBeforeTheCallerGivesUp(String piece) {
        byte[] body = bytes(piece.repeat(BODY_BYTES / piece.length()));
        Optional<String> defect = assertTimeoutPreemptively(
                LONGEST_EXAMINATION, () -> ResponseBoundary.findDefect(body, new byte[0], "Request-Id"));
        assertThat(defect).isEmpty();
    }

    @Test
    void aResponseIsFoundBehindOthersWithoutAnIdentifier() {
        String body =
                "HTTP/1.1 200 OK\r\nDate: a\r\n\r\nHTTP/1.1 200 OK\r\nHTTP/1.1 500 Error\r\nrequest-id: b\r\n\r\n";
        assertThat(ResponseBoundary.findDefect(bytes(body), new byte[0], "Request-Id"))
                .isPresent();
    }

    @Test
    void anInterimResponseIsFoundBehindTheMentionOfAStatusLine() {
        String body = "a body that tells of HTTP/1.1 200 and breaks offHTTP/1.1 100 Continue\r\n\r\n";
        assertThat(ResponseBoundary.findDefect(bytes(body), bytes("HTTP/1.1 200 OK\r\n"), "Request-Id"))
                .isPresent();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 100 Continue\n\n",
                "HTTP/1.1 100 Continue\r\n\n",
                "HTTP/1.1 103 Early Hints\nLink: </style.css>\n\r\n",
                "HTTP/1.1 103 Early Hints\r\nVia: HTTP/1.1 192.168.0.1\r\n\r\n",
                "HTTP/1.1 103 Early Hints\r\nCache-Status: HTTP/1.1 200\r\n\r\n"
            })
    void anInterimResponseInEachFormThatTheClientReadsIsFoundAtTheEndOfABody(String interim) {
        byte[] body = bytes("a body that breaks off" + interim);
        assertThat(ResponseBoundary.findDefect(body, bytes("HTTP/1.1 500 Error\r\n"), "Request-Id"))
                .isPresent();
        assertThat(ResponseBoundary.isUndecided(body, new byte[0])).isTrue();
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
