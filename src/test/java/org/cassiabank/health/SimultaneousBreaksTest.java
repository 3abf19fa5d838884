package org.cassiabank.health;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against blaming servers for connections that broke together, and excusing servers that do break them. */
class SimultaneousBreaksTest {
    private static final int SERVER_COUNT = 12;
    private static final int DOMAIN_COUNT = 4;

    private final SimultaneousBreaks breaks = new SimultaneousBreaks();

    @Test
    void connectionsOfAQuarterOfTheServersThatBreakTogetherAreExcused() {
        assertThat(record(0, "a", 1_000, 400)).isEmpty();
        assertThat(record(1, "b", 1_020, 700)).isEmpty();
        assertThat(record(2, "c", 1_050, 90)).containsExactlyInAnyOrder("s0", "s1", "s2");
    }

    @Test
    void aLateReportOfTheSameMomentIsExcused() {
        record(0, "a", 1_000, 400);
        record(1, "b", 1_000, 400);
        record(2, "c", 1_000, 400);
        assertThat(record(3, "d", 1_400, 900)).containsExactly("s3");
        assertThat(record(4, "e", 1_450, 400)).as("sent after the moment").isEmpty();
        assertThat(record(5, "f", 1_600, 900)).as("too late").isEmpty();
    }

    @Test
    void requestsThatBreakOnArrivalAtManyServersAreNotExcused() {
        for (int server = 0; server < SERVER_COUNT; server++) {
            assertThat(record(server, "entry-" + server, 1_000 + 10 * server, 5))
                    .isEmpty();
        }
    }

    @Test
    void serversOfOneFailureDomainAreNotExcused() {
        assertThat(record(0, "a", 1_000, 400)).isEmpty();
        assertThat(record(4, "a", 1_000, 400)).isEmpty();
        assertThat(record(8, "c", 1_000, 400)).isEmpty();
    }

    @Test
    void twoServersThatBreakTogetherAtOneEntryProxyAreExcused() {
        record(0, "a", 1_000, 400);
        assertThat(record(1, "a", 1_010, 400)).containsExactlyInAnyOrder("s0", "s1");
    }

    @Test
    void aServerThatAlsoBreaksForAnotherEntryProxyIsNotExcused() {
        record(0, "b", 990, 400);
        record(0, "a", 1_000, 400);
        assertThat(record(1, "a", 1_010, 400)).containsExactly("s1");
    }

    @Test
    void twoServersOfDifferentEntryProxiesAreNotExcused() {
        record(0, "a", 1_000, 400);
        assertThat(record(1, "b", 1_010, 400)).isEmpty();
    }

    @Test
    void entryProxiesThatAreNotKnownAreNotTakenForOne() {
        record(0, "", 1_000, 400);
        assertThat(record(1, "", 1_010, 400)).isEmpty();
    }

    @Test
    void breaksOfDifferentMomentsAreNotPutTogether() {
        record(0, "a", 1_000, 900);
        record(1, "b", 1_160, 900);
        assertThat(record(2, "c", 1_320, 900)).isEmpty();
    }

    private Set<String> record(int server, String entryProxy, long nowMillis, long latencyMillis) {
        return breaks.record(
                new CompletedAttempt(
                        "s" + server, "route", AttemptOutcome.BROKEN, latencyMillis * 1_000, entryProxy, true),
                "domain-" + server % DOMAIN_COUNT,
                SERVER_COUNT,
                DOMAIN_COUNT,
                nowMillis);
    }
}
