package org.cassiabank.source;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.function.Predicate;
import org.cassiabank.membership.Instance;
import org.cassiabank.membership.InstanceRole;
import org.cassiabank.membership.InstanceState;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests to servers that have left, which an older copy of the store lists as live, and against live
 * servers that stay unused because of it.
 */
class DepartedServersTest {
    private static final Predicate<String> FROM_COPY = server -> true;
    private static final Map<String, Instance> BOTH_LIVE = Map.of("a", server("a", 7), "b", server("b", 7));

    private final DepartedServers departed = new DepartedServers();

    @Test
    void aServerThatHadLeftOrWasLeavingIsNotTakenFromTheCopyUntilItsEntryHasHadTimeToExpire() {
        departed.recordPublished(BOTH_LIVE, 0);
        departed.recordPublished(Map.of("b", leaving("b", 7)), 1_000);
        departed.recordRestoration(2_000);
        Map<String, Instance> corrected = departed.correct(BOTH_LIVE, FROM_COPY, 2_000);
        assertThat(corrected).isEqualTo(Map.of("b", leaving("b", 7)));
        long endMillis = 2_000 + DepartedServers.DISTRUST_MILLIS;
        assertThat(departed.nextEvaluationMillis()).isEqualTo(endMillis);
        assertThat(departed.correct(BOTH_LIVE, FROM_COPY, endMillis - 1)).isEqualTo(corrected);
        assertThat(departed.correct(BOTH_LIVE, FROM_COPY, endMillis)).isEqualTo(BOTH_LIVE);
        assertThat(departed.nextEvaluationMillis()).isEqualTo(Long.MAX_VALUE);
    }

    @Test
    void anEntryThatWasWrittenAfterTheRestorationCountsAtOnce() {
        departed.recordPublished(BOTH_LIVE, 0);
        departed.recordPublished(Map.of(), 1_000);
        departed.recordRestoration(2_000);
        assertThat(departed.correct(BOTH_LIVE, server -> server.equals("a"), 2_100))
                .containsOnlyKeys("b");
    }

    @Test
    void anotherStartOfTheServerCountsAtOnce() {
        departed.recordPublished(BOTH_LIVE, 0);
        departed.recordPublished(Map.of(), 1_000);
        departed.recordRestoration(2_000);
        Map<String, Instance> restarted = Map.of("a", server("a", 8));
        assertThat(departed.correct(restarted, FROM_COPY, 2_100)).isEqualTo(restarted);
    }

    @Test
    void aServerThatCameBackBeforeTheRestorationIsNotDeparted() {
        departed.recordPublished(BOTH_LIVE, 0);
        departed.recordPublished(Map.of("b", server("b", 7)), 500);
        departed.recordPublished(BOTH_LIVE, 1_000);
        departed.recordRestoration(2_000);
        assertThat(departed.correct(BOTH_LIVE, FROM_COPY, 2_100)).isEqualTo(BOTH_LIVE);
    }

    @Test
    void withoutARestorationEveryEntryCounts() {
        departed.recordPublished(BOTH_LIVE, 0);
        departed.recordPublished(Map.of(), 1_000);
        assertThat(departed.correct(BOTH_LIVE, FROM_COPY, 1_100)).isEqualTo(BOTH_LIVE);
    }

    private static Instance server(String name, long incarnation) {
        return new Instance(
                name,
                InstanceRole.BACKEND,
                "127.0.0.1:1",
                "region",
                "domain",
                InstanceState.LIVE,
                Map.of(),
                1,
                incarnation);
    }

    private static Instance leaving(String name, long incarnation) {
        return server(name, incarnation).withState(InstanceState.LEAVING);
    }
}
