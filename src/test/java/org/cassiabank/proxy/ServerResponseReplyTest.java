package org.cassiabank.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.cassiabank.backend.DefaultHeaderConventions;
import org.cassiabank.backend.HeaderConventions;
import org.cassiabank.source.PlatformAdapters;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against replies with a status that promises that a request has not run, although a server ran it. */
class ServerResponseReplyTest {
    private static final HeaderConventions PLATFORM =
            PlatformAdapters.forName("kv").headerConventions();
    private static final Map<String, List<String>> HEADERS =
            Map.of("Response-Seal", List.of("s"), "retry-after", List.of("5"), "X", List.of("1"));
    private static final byte[] BODY = {1, 2};

    @ParameterizedTest
    @ValueSource(ints = {408, 421, 429, 503})
    void aPromiseOfAServerForARequestThatMayRunOnceBecomesAReplyOfUnknownOutcome(int status) {
        CallerReply reply = ServerResponseReply.create(status, HEADERS, BODY, false, PLATFORM);
        assertThat(reply.status()).isEqualTo(502);
        assertThat(reply.isAnswered()).isFalse();
        assertThat(reply.firstHeader(CallerReply.OUTCOME_HEADER)).isEqualTo("unknown");
        assertThat(reply.firstHeader(CallerReply.REASON_HEADER)).isEqualTo("unproven-refusal");
        assertThat(reply.headers()).doesNotContainKeys("Response-Seal", "retry-after", "X");
        assertThat(reply.body()).isNotEqualTo(BODY);
    }

    @ParameterizedTest
    @ValueSource(ints = {408, 421, 429, 503})
    void aRepeatableRequestGetsTheResponseWithoutTheDelayThatWasMeantForTheFleet(int status) {
        CallerReply reply = ServerResponseReply.create(status, HEADERS, BODY, true, PLATFORM);
        assertThat(reply.status()).isEqualTo(status);
        assertThat(reply.isAnswered()).isTrue();
        assertThat(reply.headers()).containsKeys("Response-Seal", "X").doesNotContainKey("retry-after");
        assertThat(reply.body()).isEqualTo(BODY);
    }

    @ParameterizedTest
    @ValueSource(ints = {200, 204, 400, 404, 409, 500, 502, 504})
    void allOtherResponsesArePassedOnUnchanged(int status) {
        for (boolean repeatable : new boolean[] {false, true}) {
            CallerReply reply = ServerResponseReply.create(status, HEADERS, BODY, repeatable, PLATFORM);
            assertThat(reply.status()).isEqualTo(status);
            assertThat(reply.isAnswered()).isTrue();
            assertThat(reply.headers()).containsAllEntriesOf(HEADERS);
            assertThat(reply.body()).isEqualTo(BODY);
        }
    }

    /** A record or a peer of another release may hold a status that this release refuses from a server. */
    @ParameterizedTest
    @ValueSource(ints = {Integer.MIN_VALUE, -200, 0, 1, 20, 99, 100, 101, 103, 199, 600, 999, 2000})
    void aStatusThatNoFinalResponseCanHaveReachesNoCaller(int status) {
        for (boolean repeatable : new boolean[] {false, true}) {
            for (HeaderConventions conventions : List.of(PLATFORM, DefaultHeaderConventions.instance())) {
                CallerReply reply = ServerResponseReply.create(status, HEADERS, BODY, repeatable, conventions);
                assertThat(reply.status()).isEqualTo(502);
                assertThat(reply.isAnswered()).isFalse();
                assertThat(reply.firstHeader(CallerReply.REASON_HEADER)).isEqualTo("invalid-status");
                assertThat(reply.headers()).doesNotContainKeys("Response-Seal", "retry-after", "X");
            }
        }
    }

    @Test
    void callersThatReadTheOutcomeGetEveryResponseUnchanged() {
        CallerReply reply = ServerResponseReply.create(503, HEADERS, BODY, false, DefaultHeaderConventions.instance());
        assertThat(reply.status()).isEqualTo(503);
        assertThat(reply.headers()).containsAllEntriesOf(HEADERS);
    }
}
